"""Settings of the control process."""

import dataclasses

from fireflywell.entry import settings as entry_settings


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of one control process.

    Attributes:
        address: IP address at which peers reach the process.
        peer_port: Port of the membership listener.
        zone: Availability zone.
        platform_url: Base URL of the platform's services.
        cluster_key_file: File with the key shared by all processes, 64
            hexadecimal digits.
        trust_file: TOML file with the reviewers who sign the first bundle.
        peers: Addresses of the entries and the other control processes.
        statsd: Server that receives the metrics; None to send none.
        log_file: File that log lines are written to; None for standard output.
    """

    address: str
    peer_port: int
    zone: str
    platform_url: str
    cluster_key_file: str
    trust_file: str
    peers: tuple[entry_settings.PeerSettings, ...] = ()
    statsd: entry_settings.StatsdSettings | None = None
    log_file: str | None = None
