"""Settings of the entry process."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """Address of another process.

    Attributes:
        address: IP number.
        port: Port of its membership listener.
    """

    address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatsdSettings:
    """Where metrics are sent."""

    address: str = "127.0.0.1"
    port: int = 8125


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry.

    Attributes:
        address: IP number on which callers and peers reach the entry.
        port: Port for callers.
        peer_port: Port of the membership listener.
        zone: Availability zone.
        platform_url: Base address of the platform's services.
        cluster_key_file: File with the key shared by all processes, 64
            hexadecimal digits.
        trust_file: TOML file with the reviewers who sign the first bundle.
        peers: Other entries and control processes.
        statsd: Where metrics are sent; None to send none.
        log_file: File for log lines; None for the standard output.
        balancer_lag: Time for which a stopping entry still accepts requests.
        stop_timeout: Longest wait for requests in progress at a stop; a long
            run that isn't finished then is reported in a log line and waited
            for again.
    """

    address: str
    port: int
    peer_port: int
    zone: str
    platform_url: str
    cluster_key_file: str
    trust_file: str
    peers: tuple[PeerSettings, ...] = ()
    statsd: StatsdSettings | None = None
    log_file: str | None = None
    balancer_lag: datetime.timedelta = datetime.timedelta(seconds=5)
    stop_timeout: datetime.timedelta = datetime.timedelta(minutes=30)
