"""Settings of the stand-in process: one deployment on loopback addresses."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """A service whose instances are served.

    Attributes:
        name: Name of the service.
        port: Port of its instances on their VMs.
    """

    name: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class CapacitySettings:
    """What a worker has."""

    cores: float = 16.0
    memory_mb: float = 32_768.0
    accelerators: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class VmSettings:
    """One VM.

    Attributes:
        vm_id: Name of the VM.
        address: Loopback address, such as 127.1.1.2.
        zone: Availability zone.
        rack: Rack.
        services: Services with an instance on the VM; empty for all, so that
            the VM may move between pools.
        is_system: Whether the VM carries processes of the system and has
            neither instances nor a worker.
        capacity: Capacity of its worker.
    """

    vm_id: str
    address: str
    zone: str
    rack: str
    services: tuple[str, ...] = ()
    is_system: bool = False
    capacity: CapacitySettings = CapacitySettings()


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneSettings:
    """An availability zone and its distance from the entries.

    Attributes:
        name: Name of the zone.
        latency: Delay in one direction between an entry and the zone's
            instances.
    """

    name: str
    latency: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class BalancerSettings:
    """A load balancer in front of the entries.

    Attributes:
        address: Address for callers.
        port: Port for callers.
        entries: Base addresses of the entries.
        retry_after: Time without a response after which a request is sent to
            another entry too.
        tries: Most entries that one request is sent to.
        check_interval: Time between two checks of `/readyz`.
    """

    address: str
    port: int
    entries: tuple[str, ...]
    retry_after: datetime.timedelta = datetime.timedelta(seconds=2)
    tries: int = 2
    check_interval: datetime.timedelta = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class LinkSettings:
    """A link to a process that can be cut.

    Attributes:
        name: Name in `/faults`.
        address: Address to connect to in place of the target's.
        port: Port to connect to.
        target_address: Address of the process.
        target_port: Port of the process.
    """

    name: str
    address: str
    port: int
    target_address: str
    target_port: int


@dataclasses.dataclass(frozen=True, slots=True)
class StandinSettings:
    """Settings of `fireflywell-standin`.

    Attributes:
        address: Address of the platform's services.
        port: Port of the platform's services.
        zones: Availability zones.
        services: Services.
        vms: VMs.
        reboot_time: Time for which a rebooted VM is away.
        list_lag: Lag of the VM list and of reported usage.
        platform_latency: Delay in one direction of calls to the platform.
        balancers: Load balancers.
        links: Links that can be cut.
        log_file: File for log lines; None for the standard output.
    """

    address: str
    port: int
    zones: tuple[ZoneSettings, ...]
    services: tuple[ServiceSettings, ...]
    vms: tuple[VmSettings, ...]
    reboot_time: datetime.timedelta = datetime.timedelta(seconds=2)
    list_lag: datetime.timedelta = datetime.timedelta(seconds=1)
    platform_latency: datetime.timedelta = datetime.timedelta()
    balancers: tuple[BalancerSettings, ...] = ()
    links: tuple[LinkSettings, ...] = ()
    log_file: str | None = None
