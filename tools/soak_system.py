"""Processes of a soak: an emulator, nodes and the links between them."""

import base64
from collections.abc import Iterator
import json
import math
import pathlib
import random
import signal

import anyio
import anyio.to_thread
from tools import local_processes
from tools import soak_configuration
from tools import soak_plan
from tools import soak_settings
from tools import soak_waits

from fireflywell import clock as clock_lib
from fireflywell.node import owner_records
from fireflywell.node import tables
from fireflywell.standins import emulator_values
from fireflywell.standins import link_proxy
from fireflywell.standins import settings as standin_settings


class SoakSystem:
    """Starts, faults and ends the processes of one soak.

    Each soak has loopback addresses of its own, so that several can run at
    the same time.

    Attributes:
        disturbances: Times in which faults excuse nodes for being late.
        faults: The faults that were made.
    """

    __slots__ = (
        "_addresses",
        "_all",
        "_clock",
        "_directory",
        "_lost_links",
        "_nodes",
        "_proxies",
        "_shape",
        "disturbances",
        "faults",
    )

    def __init__(
        self,
        directory: pathlib.Path,
        subnet: str,
        shape: soak_plan.Shape,
        clock: clock_lib.Clock,
    ) -> None:
        self._directory = directory
        self._addresses = soak_settings.Addresses(subnet)
        self._shape = shape
        self._clock = clock
        self.disturbances: list[soak_configuration.Disturbance] = []
        self.faults: list[soak_waits.FaultSeen] = []
        self._all: list[local_processes.ManagedProcess] = []
        # Links that never heal.
        self._lost_links: set[str] = set()
        self._nodes: dict[int, local_processes.ManagedProcess] = {}
        self._proxies = {link.name: link for link in self._make_links()}

    @property
    def callers_addresses(self) -> tuple[str, ...]:
        """Where the nodes serve callers."""
        return tuple(
            f"{self._addresses.locate_node(number)}:"
            f"{soak_settings.CALLERS_PORT}"
            for number in range(self._shape.nodes)
        )

    @property
    def _control_url(self) -> str:
        return f"http://{self._addresses.platform}:{soak_settings.CONTROL_PORT}"

    async def run_links(self) -> None:
        """Relays all connections until cancelled."""
        async with anyio.create_task_group() as group:
            for proxy in self._proxies.values():
                group.start_soon(proxy.run)

    def start_emulator(self) -> None:
        """Starts the platform."""
        path = self._directory / "emulator.toml"
        soak_settings.write_emulator_settings(
            path, self._addresses, self._shape
        )
        self._all.append(
            local_processes.ManagedProcess(
                "emulator",
                "emulator",
                [str(path)],
                self._directory / "emulator.log",
            )
        )

    def start_node(self, number: int) -> None:
        """Starts a node or starts it again."""
        path = self._directory / f"node-{number}.toml"
        soak_settings.write_node_settings(path, self._addresses, number)
        process = local_processes.ManagedProcess(
            f"node-{number}",
            "node",
            [],
            self._directory / f"node-{number}.log",
            {"FIREFLYWELL_CONFIG": str(path)},
        )
        self._all.append(process)
        self._nodes[number] = process

    async def make_fault(self, fault: soak_plan.Fault) -> None:
        """Makes a fault and heals it again."""
        fault = await self._find_target(fault)
        services = await self._find_services(fault)
        seen = soak_waits.FaultSeen(fault, self._now_s(), services=services)
        self.faults.append(seen)
        disturbance = soak_configuration.describe_disturbance(
            fault, self._shape.nodes, self._now_s()
        )
        if disturbance is not None:
            self.disturbances.append(disturbance)
        await self._carry_out(fault)
        if disturbance is not None and disturbance.ended_s == math.inf:
            disturbance.ended_s = self._now_s()
        if not soak_plan.is_for_good(fault):
            seen.ended_s = self._now_s()

    async def _find_target(self, fault: soak_plan.Fault) -> soak_plan.Fault:
        """Replaces an owner by the node that owns the service now."""
        match fault:
            case soak_plan.KillOwner(service=service, down_s=down_s):
                return soak_plan.KillNode(
                    await self._find_owner(service) or 0, down_s
                )
            case soak_plan.PauseOwner(service=service, seconds=seconds):
                return soak_plan.PauseNode(
                    await self._find_owner(service) or 0, seconds
                )
            case soak_plan.TermOwner(service=service):
                return soak_plan.TermNode(await self._find_owner(service) or 0)
            case _:
                return fault

    async def _find_services(
        self, fault: soak_plan.Fault
    ) -> frozenset[str] | None:
        """Returns the services of a disturbed node, None if not known."""
        match fault:
            case (
                soak_plan.KillNode(node=node)
                | soak_plan.PauseNode(node=node)
                | soak_plan.TermNode(node=node)
            ):
                number = node
            case soak_plan.LinkFault(link=link) | soak_plan.ResetLink(
                link=link
            ) if link.startswith("node-"):
                number = int(link.removeprefix("node-"))
            case _:
                return None
        services = self._shape.services
        owners = {name: await self._find_owner(name) for name in services}
        return frozenset(
            name for name, owner in owners.items() if owner in (number, None)
        )

    async def _find_owner(self, service: str) -> int | None:
        """Returns the number of a service's owner, None if not known."""
        row_key = tables.locate_owner(service)
        answer = await anyio.to_thread.run_sync(
            local_processes.send_request,
            "GET",
            f"{self._control_url}{emulator_values.ROWS_PATH}{row_key.table}/"
            f"{row_key.partition}/{row_key.key}",
        )
        if answer is None or answer.status != 200:
            return None
        value = base64.b64decode(json.loads(answer.body)["value"])
        number = owner_records.decode_owner(value).node.removeprefix("node-")
        return int(number) if number else None

    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()

    async def _carry_out(self, fault: soak_plan.Fault) -> None:
        match fault:
            case soak_plan.KillNode(node=node, down_s=down_s):
                await self._kill((node,), down_s)
            case soak_plan.KillAllNodes(down_s=down_s):
                await self._kill(tuple(range(self._shape.nodes)), down_s)
            case soak_plan.PauseNode(node=node, seconds=seconds):
                process = self._nodes[node]
                _signal(process, signal.SIGSTOP)
                await anyio.sleep(seconds)
                _signal(process, signal.SIGCONT)
            case soak_plan.TermNode(node=node):
                process = self._nodes[node]
                _signal(process, signal.SIGTERM)
                await self._wait_for_end(process)
                self._start_again(node, process)
            case soak_plan.ReloadNode(node=node):
                _signal(self._nodes[node], signal.SIGHUP)
            case soak_plan.LinkFault(link=name, state=state, seconds=seconds):
                proxy = self._proxies[name]
                if name in self._lost_links:
                    return
                proxy.set_state(state)
                if soak_plan.is_for_good(fault):
                    self._lost_links.add(name)
                    return
                await anyio.sleep(seconds)
                if name not in self._lost_links:
                    proxy.set_state(link_proxy.Open())
            case soak_plan.ResetLink(link=name):
                self._proxies[name].reset_connections()
            case soak_plan.AddressReused():
                await self._reuse_address(fault)
            case (
                soak_plan.KillOwner()
                | soak_plan.PauseOwner()
                | soak_plan.TermOwner()
            ):
                raise AssertionError("the owner was not looked up")
            case soak_plan.PlatformFault(fault=platform_fault):
                await self._call_control(
                    "POST", emulator_values.encode_fault(platform_fault)
                )
                match platform_fault:
                    case (
                        emulator_values.StoreBehind(seconds=seconds)
                        | emulator_values.TransactionsLate(seconds=seconds)
                        | emulator_values.AddressChange(seconds=seconds)
                    ):
                        await anyio.sleep(seconds)
                    case _:
                        pass

    async def _reuse_address(self, fault: soak_plan.AddressReused) -> None:
        proxy = self._proxies[fault.worker]
        number = self._shape.workers.index(fault.other)
        proxy.set_state(link_proxy.Silent())
        await anyio.sleep(fault.cut_s)
        proxy.set_state(
            link_proxy.Redirected(
                self._addresses.locate_worker(number),
                soak_settings.WORKER_PORT,
            )
        )
        await anyio.sleep(fault.seconds)
        proxy.set_state(link_proxy.Open())

    async def read_records(self) -> emulator_values.Records:
        """Returns what the workers have seen."""
        document = await self._call_control("GET")
        return emulator_values.decode_records(document)

    def write_faults(self, records: emulator_values.Records) -> None:
        """Writes what was made when beside the logs."""
        offset_s = self._clock.now().timestamp() - self._now_s()
        lines = [f"# monotonic seconds; logs are {offset_s:.3f} s ahead"]
        lines += [
            f"{seen.begun_s:.3f} to {seen.ended_s:.3f}: {seen.fault}"
            for seen in self.faults
        ]
        lines += [f"{item.at_s:.3f}: {item}" for item in records.late_writes]
        path = self._directory / "faults.txt"
        path.write_text("\n".join(lines) + "\n")

    async def wait_until_ready(self) -> None:
        """Waits until the emulator and all nodes answer.

        Raises:
            StepError: One of them doesn't.
        """
        urls = [f"{self._control_url}/"]
        urls += [
            f"http://{self._addresses.locate_node(number)}:"
            f"{soak_settings.READY_PORT}/readiness"
            for number in range(self._shape.nodes)
        ]
        for url in urls:
            await anyio.to_thread.run_sync(
                local_processes.wait_until,
                lambda url=url: _answers(url),
                f"{url} answers",
            )

    async def stop_nodes(self) -> list[str]:
        """Asks all nodes to stop; returns what went wrong."""
        for process in self._nodes.values():
            _signal(process, signal.SIGTERM)
        findings = []
        for process in self._nodes.values():
            code = await self._wait_for_end(process)
            if code != 0:
                findings.append(f"{process.name} ended with code {code}")
        return findings

    def end(self) -> None:
        """Kills what still runs."""
        for process in self._all:
            process.end()

    def find_tracebacks(self) -> list[str]:
        """Returns the logs that hold a traceback of Python."""
        return [
            f"{path.name} holds a traceback"
            for path in sorted(self._directory.glob("*.log"))
            if "Traceback" in path.read_text(errors="replace")
        ]

    async def _kill(self, nodes: tuple[int, ...], down_s: float) -> None:
        killed = {node: self._nodes[node] for node in nodes}
        for process in killed.values():
            process.end()
        await anyio.sleep(down_s)
        for node, process in killed.items():
            self._start_again(node, process)

    def _start_again(
        self, node: int, ended: local_processes.ManagedProcess
    ) -> None:
        # Another fault may have started it already.
        if self._nodes[node] is ended:
            self.start_node(node)

    async def _wait_for_end(
        self, process: local_processes.ManagedProcess
    ) -> int:
        while process.exit_code is None:
            await anyio.sleep(0.05)
        return process.exit_code

    async def _call_control(
        self, method: str, document: object = None
    ) -> dict[str, object]:
        answer = await anyio.to_thread.run_sync(
            local_processes.send_json,
            method,
            f"{self._control_url}/",
            document,
        )
        assert isinstance(answer, dict)
        return answer

    def _make_links(self) -> Iterator[link_proxy.LinkProxy]:
        addresses = self._addresses
        for number in range(self._shape.nodes):
            yield self._make_link(
                f"node-{number}",
                addresses.locate_store_link(number),
                addresses.platform,
                soak_settings.STORE_PORT,
            )
        for number, worker in enumerate(self._shape.workers):
            target = addresses.locate_worker(number)
            for name, address in (
                (worker, addresses.locate_worker_link(number)),
                (
                    soak_plan.name_other_link(worker),
                    addresses.locate_other_link(number),
                ),
            ):
                yield self._make_link(
                    name, address, target, soak_settings.WORKER_PORT
                )

    def _make_link(
        self, name: str, address: str, target: str, port: int
    ) -> link_proxy.LinkProxy:
        return link_proxy.LinkProxy(
            standin_settings.LinkSettings(name, address, port, target, port),
            self._clock,
            random.Random(),
        )


def _signal(
    process: local_processes.ManagedProcess, number: signal.Signals
) -> None:
    if process.exit_code is None:
        process.send_signal(number)


def _answers(url: str) -> bool:
    answer = local_processes.send_request("GET", url)
    return answer is not None and answer.status == 200
