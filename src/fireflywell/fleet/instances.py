"""Instances of services, derived from the bundle and the VMs' records."""

from collections.abc import Iterator
import dataclasses

from fireflywell.bundle import model
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One instance of a service on a VM.

    Attributes:
        instance_id: `<service>@<vm_id>`.
        service: Name of the service.
        vm_id: VM that the instance runs on.
        address: IP address of the VM.
        port: TCP port of the instance.
        zone: Availability zone of the VM.
        rack: Rack of the VM.
        slots: Maximum number of requests in progress.
        connections: Maximum number of open connections.
        is_leaving: Whether the instance must not receive new work.
    """

    instance_id: str
    service: str
    vm_id: str
    address: str
    port: int
    zone: str
    rack: str
    slots: int
    connections: int
    is_leaving: bool


def make_instance_id(service: str, vm_id: str) -> str:
    """Returns the name of a service's instance on a VM."""
    return f"{service}@{vm_id}"


def list_instances(
    bundle: model.Bundle,
    vms: tuple[records.Vm, ...],
    assignments: tuple[vm_records.VmRecord, ...],
) -> Iterator[Instance]:
    """Yields the instances of all services.

    Args:
        bundle: The bundle in force.
        vms: VMs in the platform's list, which may lag.
        assignments: Records of the VMs; those of unlisted VMs are skipped.
    """
    listed = {vm.vm_id: vm for vm in vms}
    services: dict[str, list[model.Service]] = {}
    for service in bundle.services:
        services.setdefault(service.pool, []).append(service)
    for record in assignments:
        vm = listed.get(record.vm_id)
        if vm is None:
            continue
        for service in services.get(record.pool, ()):
            yield _make_instance(service, vm, record)


def _make_instance(
    service: model.Service, vm: records.Vm, record: vm_records.VmRecord
) -> Instance:
    is_serving = record.phase is vm_records.VmPhase.SERVING
    is_live = vm.state is records.VmState.LIVE
    return Instance(
        instance_id=make_instance_id(service.name, vm.vm_id),
        service=service.name,
        vm_id=vm.vm_id,
        address=vm.address,
        port=service.port,
        zone=vm.zone,
        rack=vm.rack,
        slots=service.slots,
        connections=service.connections,
        is_leaving=not (is_serving and is_live),
    )
