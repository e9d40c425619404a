"""A small deployment on loopback: its settings and its processes."""

import dataclasses
import json
import os
import pathlib
import secrets
import signal
from typing import Any

from tools import local_processes

# Added to all ports, so that several deployments run side by side in tests.
PORT_OFFSET_VARIABLE = "FIREFLYWELL_PORT_OFFSET"
_OFFSET = int(os.environ.get(PORT_OFFSET_VARIABLE, "0"))

ENTRY_PORT = 18400 + _OFFSET
ENTRY_PEER_PORT = 18420 + _OFFSET
CONTROL_PEER_PORT = 18440 + _OFFSET
PLATFORM_PORT = 18460 + _OFFSET
BALANCER_PORT = 18470 + _OFFSET
LINK_PORT = 18480 + _OFFSET
SERVICE_PORT = 19001 + _OFFSET
PLATFORM_URL = f"http://127.0.0.1:{PLATFORM_PORT}"
BALANCER_URL = f"http://127.0.0.1:{BALANCER_PORT}"
_ZONES = ("a", "b", "c")


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """Size of a deployment.

    Attributes:
        entries: Number of entries.
        controls: Number of control processes.
        vms: VMs in each pool.
        services: Services; each has a pool of its own name.
        balancer_lag_seconds: Passed on to the entries.
        reboot_seconds: Time for which a rebooted VM is away.
    """

    entries: int = 2
    controls: int = 1
    vms: int = 3
    services: tuple[str, ...] = ("quotes", "ledger")
    balancer_lag_seconds: float = 1.0
    reboot_seconds: float = 1.0


class LocalSystem:
    """Writes the settings of a deployment and runs its programs."""

    __slots__ = ("_directory", "_group", "_layout")

    def __init__(
        self,
        directory: pathlib.Path,
        group: local_processes.ProcessGroup,
        layout: Layout,
    ) -> None:
        self._directory = directory
        self._group = group
        self._layout = layout
        (directory / "cluster.key").write_text(secrets.token_hex(32))
        self._write("standin.toml", self._describe_standins())

    @property
    def layout(self) -> Layout:
        """Size of the deployment."""
        return self._layout

    @property
    def processes(self) -> local_processes.ProcessGroup:
        """The processes started so far."""
        return self._group

    @property
    def directory(self) -> pathlib.Path:
        """Directory with settings and logs."""
        return self._directory

    @property
    def entry_urls(self) -> tuple[str, ...]:
        """Base addresses of all entries."""
        numbers = range(1, self._layout.entries + 1)
        return tuple(find_entry_url(number) for number in numbers)

    def start_standins(self) -> None:
        """Starts the platform and all instances, and waits for them."""
        url = f"{PLATFORM_URL}/stats"
        if local_processes.send_request("GET", url) is not None:
            raise local_processes.StepError(
                f"another process already answers at {url}; end it first"
            )
        settings = str(self._directory / "standin.toml")
        self._group.start("stand-ins", "standin", [settings])
        self._wait_until_up("stand-ins", url)

    def start_entry(self, number: int) -> None:
        """Starts an entry and waits until it accepts connections."""
        name = f"entry {number}"
        path = self._write(f"entry-{number}.toml", self._describe_entry(number))
        self._group.start(name, "entry", [str(path)])
        self._wait_until_up(name, f"{find_entry_url(number)}/livez")

    def start_control(self, number: int) -> None:
        """Starts a control process."""
        name = f"control {number}"
        path = self._write(
            f"control-{number}.toml", self._describe_process("control", number)
        )
        self._group.start(name, "control", [str(path)])

    def start_load(self, name: str, plan: dict[str, Any]) -> None:
        """Starts a load generator with a plan."""
        path = self._write(f"load-{name}.toml", plan)
        samples = str(self._directory / f"samples-{name}.jsonl")
        arguments = [str(path), "--json", "--samples", samples]
        self._group.start(f"load {name}", "load", arguments)

    def read_samples(self, name: str) -> list[dict[str, Any]]:
        """Returns the samples of a load that has ended."""
        text = (self._directory / f"samples-{name}.jsonl").read_text()
        return [json.loads(line) for line in text.splitlines()]

    def set_fault(self, **document: Any) -> None:
        """Sets a fault of the stand-ins."""
        url = f"{PLATFORM_URL}/faults"
        local_processes.send_json("POST", url, document)

    def read_stats(self) -> dict[str, Any]:
        """Returns the stand-ins' counts."""
        stats = local_processes.send_json("GET", f"{PLATFORM_URL}/stats")
        return dict(stats)

    def read_rows(self, prefix: str) -> dict[str, Any]:
        """Returns the parsed rows below a prefix by key."""
        url = f"{PLATFORM_URL}/v1/tables/scan?prefix={prefix}"
        page = local_processes.send_json("GET", url)
        return {row["key"]: json.loads(row["value"]) for row in page["rows"]}

    def stop(self, name: str) -> None:
        """Sends SIGTERM to a process."""
        self._group.find(name).send_signal(signal.SIGTERM)

    def _wait_until_up(self, name: str, url: str) -> None:
        process = self._group.find(name)

        def is_up() -> bool:
            if process.exit_code is not None:
                raise local_processes.StepError(
                    f"{name} ended with exit code {process.exit_code}"
                )
            answer = local_processes.send_request("GET", url)
            return answer is not None and answer.status == 200

        local_processes.wait_until(is_up, f"{name} answers at {url}")

    def _write(self, name: str, document: dict[str, Any]) -> pathlib.Path:
        path = self._directory / name
        path.write_text(format_toml(document))
        return path

    def _describe_entry(self, number: int) -> dict[str, Any]:
        return self._describe_process("entry", number) | {
            "port": ENTRY_PORT,
            "balancer_lag": self._layout.balancer_lag_seconds,
        }

    def _describe_process(self, role: str, number: int) -> dict[str, Any]:
        port = ENTRY_PEER_PORT if role == "entry" else CONTROL_PEER_PORT
        address = make_system_address(number)
        peers = [
            {"address": make_system_address(other), "port": peer_port}
            for peer_port, count in (
                (ENTRY_PEER_PORT, self._layout.entries),
                (CONTROL_PEER_PORT, self._layout.controls),
            )
            for other in range(1, count + 1)
            if (other, peer_port) != (number, port)
        ]
        return {
            "address": address,
            "peer_port": port,
            "zone": _ZONES[(number - 1) % 3],
            "platform_url": PLATFORM_URL,
            "cluster_key_file": str(self._directory / "cluster.key"),
            "trust_file": str(self._directory / "trust.toml"),
            "peers": peers,
        }

    def _describe_standins(self) -> dict[str, Any]:
        layout = self._layout
        services = [
            {"name": name, "port": SERVICE_PORT + index}
            for index, name in enumerate(layout.services)
        ]
        balancer = {
            "address": "127.0.0.1",
            "port": BALANCER_PORT,
            "entries": list(self.entry_urls),
            "check_interval": 0.2,
        }
        return {
            "address": "127.0.0.1",
            "port": PLATFORM_PORT,
            "reboot_time": layout.reboot_seconds,
            "list_lag": 0.5,
            "zones": [{"name": zone} for zone in _ZONES],
            "services": services,
            "vms": [*self._list_vms(), *self._list_system_vms()],
            "balancers": [balancer],
        }

    def _list_vms(self) -> list[dict[str, Any]]:
        return [
            {
                "vm_id": f"vm{number}",
                "address": f"127.1.{1 + (number - 1) % 3}.{number}",
                "zone": _ZONES[(number - 1) % 3],
                "rack": f"rack-{_ZONES[(number - 1) % 3]}",
            }
            for number in range(
                1, self._layout.vms * len(self._layout.services) + 1
            )
        ]

    def _list_system_vms(self) -> list[dict[str, Any]]:
        count = max(self._layout.entries, self._layout.controls)
        return [
            {
                "vm_id": f"system{number}",
                "address": make_system_address(number),
                "zone": _ZONES[(number - 1) % 3],
                "rack": f"rack-system-{number}",
                "is_system": True,
            }
            for number in range(1, count + 1)
        ]


def make_system_address(number: int) -> str:
    """Returns the address of the system VM of that number."""
    return f"127.1.9.{number}"


def find_entry_url(number: int) -> str:
    """Returns the base address of an entry."""
    return f"http://{make_system_address(number)}:{ENTRY_PORT}"


def format_toml(document: dict[str, Any]) -> str:
    """Returns a document of plain values as TOML, with inline tables."""
    return "".join(
        f"{key} = {_format_value(value)}\n" for key, value in document.items()
    )


def _format_value(value: Any) -> str:
    match value:
        case dict():
            fields = (f"{k} = {_format_value(v)}" for k, v in value.items())
            return "{" + ", ".join(fields) + "}"
        case list() | tuple():
            return "[" + ", ".join(_format_value(item) for item in value) + "]"
        case _:
            # JSON's strings, numbers and booleans are valid TOML.
            return json.dumps(value)
