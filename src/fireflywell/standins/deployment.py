"""The stand-ins of a whole deployment: platform, VMs and all instances."""

from collections.abc import Iterator
import dataclasses
import datetime
import functools
import random
from typing import Any

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.fleet import instances
from fireflywell.infrastructure import records
from fireflywell.standins import balancer
from fireflywell.standins import endpoint
from fireflywell.standins import endpoint_server
from fireflywell.standins import link_proxy
from fireflywell.standins import machines as machines_lib
from fireflywell.standins import platform
from fireflywell.standins import settings as standin_settings
from fireflywell.standins import summary
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib

_RETURN_CHECK_INTERVAL = datetime.timedelta(milliseconds=50)


class Deployment:
    """Runs one listener for the platform and one for each instance."""

    __slots__ = (
        "_balancers",
        "_clock",
        "_links",
        "_listener",
        "_machines",
        "_platform",
        "_random",
        "_returns",
        "_servers",
        "_settings",
    )

    def __init__(
        self,
        settings: standin_settings.StandinSettings,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        check_settings(settings)
        self._settings = settings
        self._clock = clock
        self._random = rng
        self._machines = make_machines(settings, clock)
        self._machines.set_reboot_hook(self._note_away)
        self._platform = platform.PlatformApplication(
            clock, self._machines, settings.platform_latency
        )
        self._platform.set_deployment_hooks(
            self._describe, self._describe_runs, self._set_fault
        )
        self._listener = asgi.Listener(
            self._platform, settings.address, settings.port
        )
        self._servers = {
            vm.vm_id: tuple(self._make_servers(vm)) for vm in settings.vms
        }
        self._balancers = tuple(
            balancer.Balancer(item, clock, rng) for item in settings.balancers
        )
        self._links = tuple(
            link_proxy.LinkProxy(item, clock, rng) for item in settings.links
        )
        self._returns = supervisor_lib.Supervisor("returns", clock, rng)

    @property
    def _applications(self) -> list[endpoint.EndpointApplication]:
        groups = self._servers.values()
        return [server.application for group in groups for server in group]

    async def run(self) -> None:
        """Serves until cancelled.

        Raises:
            ChildFailedError: An address can't be bound.
        """
        root = supervisor_lib.Supervisor(
            "standin",
            self._clock,
            self._random,
            (
                self._make_group("instances", self._iterate_instances()),
                self._make_group("network", self._iterate_network()),
                supervisor_lib.Child(
                    "returns",
                    self._returns.run_until_cancelled,
                    policies.StopProcess(),
                ),
                supervisor_lib.Child(
                    "platform", self._listener.run, policies.StopProcess()
                ),
            ),
        )
        await root.run()

    def _make_group(
        self, name: str, children: Iterator[supervisor_lib.Child]
    ) -> supervisor_lib.Child:
        group = supervisor_lib.Supervisor(
            name, self._clock, self._random, tuple(children)
        )
        return supervisor_lib.Child(name, group.run, policies.StopProcess())

    def _iterate_instances(self) -> Iterator[supervisor_lib.Child]:
        for group in self._servers.values():
            for server in group:
                yield supervisor_lib.Child(
                    server.application.name, server.run, policies.StopProcess()
                )

    def _iterate_network(self) -> Iterator[supervisor_lib.Child]:
        for link in self._links:
            name = f"link {link.name}"
            yield supervisor_lib.Child(name, link.run, policies.StopProcess())
        for number, item in enumerate(self._balancers):
            name = f"balancer {number}"
            yield supervisor_lib.Child(name, item.run, policies.StopProcess())

    def _make_servers(
        self, vm: standin_settings.VmSettings
    ) -> Iterator[endpoint_server.EndpointServer]:
        if vm.is_system:
            return
        latencies = {zone.name: zone.latency for zone in self._settings.zones}
        for service in self._settings.services:
            if vm.services and service.name not in vm.services:
                continue
            application = endpoint.EndpointApplication(
                instances.make_instance_id(service.name, vm.vm_id),
                self._clock,
                latencies[vm.zone],
            )
            yield endpoint_server.EndpointServer(
                application,
                vm.address,
                service.port,
                self._clock,
                self._random,
            )

    async def _note_away(self, vm_id: str) -> None:
        for server in self._servers.get(vm_id, ()):
            server.application.go_away()
        self._returns.start_child(
            supervisor_lib.Child(
                f"return {vm_id}",
                functools.partial(self._bring_back, vm_id),
                policies.NeverRestart(),
            )
        )

    async def _bring_back(self, vm_id: str) -> None:
        while self._machines.is_away(vm_id):
            await self._clock.sleep(_RETURN_CHECK_INTERVAL)
        for server in self._servers.get(vm_id, ()):
            server.application.come_back()

    async def _set_fault(self, document: dict[str, Any]) -> bool:
        match document:
            case {"kind": "lost", "domain": str(domain)}:
                await self._machines.lose(domain)
            case {"kind": "restored", "domain": str(domain)}:
                await self._machines.restore(domain)
            case {"kind": "latency", "zone": str(zone), "seconds": seconds}:
                self._set_latency(zone, datetime.timedelta(seconds=seconds))
            case {"kind": "cut" | "healed" as kind, "link": str(name)}:
                self._find_link(name).set_cut(kind == "cut")
            case _:
                return False
        return True

    def _find_link(self, name: str) -> link_proxy.LinkProxy:
        for link in self._links:
            if link.name == name:
                return link
        raise ValueError(f"no link {name!r}; see links in the settings")

    def _set_latency(self, zone: str, latency: datetime.timedelta) -> None:
        for vm in self._settings.vms:
            if vm.zone == zone:
                for server in self._servers[vm.vm_id]:
                    server.application.set_latency(latency)

    def _describe_runs(self) -> dict[str, Any]:
        runs = [
            {"instance": item.name} | dataclasses.asdict(run)
            for item in self._applications
            for run in item.runs
        ]
        return {"runs": runs}

    def _describe(self) -> dict[str, Any]:
        fields = dataclasses.asdict(
            summary.summarize_instances(self._applications)
        )
        fields["balancer_retries"] = sum(b.retries for b in self._balancers)
        return fields


def make_machines(
    settings: standin_settings.StandinSettings, clock: clock_lib.Clock
) -> machines_lib.Machines:
    """Returns the VMs and workers that the settings describe."""
    machines = machines_lib.Machines(
        clock,
        (),
        records.Resources(),
        settings.reboot_time,
        settings.list_lag,
    )
    for vm in settings.vms:
        capacity = records.Resources(
            vm.capacity.cores, vm.capacity.memory_mb, vm.capacity.accelerators
        )
        machines.add_vm(
            records.Vm(
                vm.vm_id,
                vm.address,
                vm.zone,
                vm.rack,
                records.VmState.LIVE,
                1,
                vm.is_system,
            ),
            records.Resources() if vm.is_system else capacity,
        )
    return machines


def check_settings(settings: standin_settings.StandinSettings) -> None:
    """Checks the references between parts of the settings.

    Raises:
        SettingsError: A VM names a zone or service that isn't described.
    """
    zones = {zone.name for zone in settings.zones}
    services = {service.name for service in settings.services}
    for vm in settings.vms:
        if vm.zone not in zones:
            raise errors.SettingsError(
                f"VM {vm.vm_id} is in zone {vm.zone!r}, which isn't described; "
                "add it to zones"
            )
        for name in vm.services:
            if name not in services:
                raise errors.SettingsError(
                    f"VM {vm.vm_id} names service {name!r}, which isn't "
                    "described; add it to services"
                )
