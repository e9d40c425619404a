"""Writes the settings files of a soak's processes and names their addresses."""

import dataclasses
import json
import pathlib

from tools import soak_plan

STORE_PORT = 18621
CONTROL_PORT = 18620
CALLERS_PORT = 18624
READY_PORT = 18622
_METRICS_PORT = 18623
WORKER_PORT = 18700

_NODE_SETTINGS = """
node_name = "node-{number}"
zone = "a"
[listen_addresses]
front = "{address}:{callers_port}"
ready_address = "{address}:{ready_port}"
control = "{address}:{metrics_port}"
[bounds]
lease_duration_ms = {lease_ms}
max_hold_ms = {max_hold_ms}
stop_timeout_ms = 900
grace_period_s = 6
[platform]
address = "{store}"
[cloud_api]
address = "{machines}"
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """Hosts of one soak, all in a loopback network of its own.

    Attributes:
        subnet: First three parts of the addresses.
    """

    subnet: str

    @property
    def platform(self) -> str:
        """The emulator's store and control address."""
        return f"{self.subnet}.1"

    def locate_node(self, number: int) -> str:
        """Returns the host of a node."""
        return f"{self.subnet}.{20 + number}"

    def locate_store_link(self, number: int) -> str:
        """Returns the host at which a node reaches the store."""
        return f"{self.subnet}.{50 + number}"

    def locate_worker(self, number: int) -> str:
        """Returns the host of a worker behind its links."""
        return f"{self.subnet}.{100 + number}"

    def locate_worker_link(self, number: int) -> str:
        """Returns the host at which a worker is usually listed."""
        return f"{self.subnet}.{150 + number}"

    def locate_other_link(self, number: int) -> str:
        """Returns the host at which a worker is listed after a move."""
        return f"{self.subnet}.{200 + number}"


def write_emulator_settings(
    path: pathlib.Path, addresses: Addresses, shape: soak_plan.Shape
) -> None:
    """Writes the settings file of the emulator."""
    services = shape.services
    lines = [
        f'store_address = "{addresses.platform}:{STORE_PORT}"',
        f'control_address = "{addresses.platform}:{CONTROL_PORT}"',
        f"services = {json.dumps(services)}",
    ]
    for number, name in enumerate(shape.workers):
        address = addresses.locate_worker(number)
        listed_address = addresses.locate_worker_link(number)
        other_address = addresses.locate_other_link(number)
        lines += [
            "[[workers]]",
            f'name = "{name}"',
            f'service = "{services[number % len(services)]}"',
            f'address = "{address}:{WORKER_PORT}"',
            f'listed_address = "{listed_address}:{WORKER_PORT}"',
            f'other_address = "{other_address}:{WORKER_PORT}"',
            f'rack = "r1-{number % 3}"',
        ]
    path.write_text("\n".join(lines) + "\n")


def write_node_settings(
    path: pathlib.Path, addresses: Addresses, number: int
) -> None:
    """Writes the settings file of a node."""
    path.write_text(
        _NODE_SETTINGS.format(
            number=number,
            lease_ms=int(soak_plan.LEASE_S * 1000),
            max_hold_ms=int(soak_plan.MAX_HOLD_S * 1000),
            address=addresses.locate_node(number),
            callers_port=CALLERS_PORT,
            ready_port=READY_PORT,
            metrics_port=_METRICS_PORT,
            store=f"{addresses.locate_store_link(number)}:{STORE_PORT}",
            machines=f"{addresses.platform}:{STORE_PORT}",
        )
    )
