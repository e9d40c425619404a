"""Availability budgets: which VMs may leave service, and which losses count."""

import collections
from collections.abc import Iterable
import dataclasses

from fireflywell.bundle import model


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceHealth:
    """State of one instance as the budget counts it.

    Attributes:
        service: Name of the service.
        vm_id: VM that the instance runs on.
        zone: Availability zone of the VM.
        rack: Rack of the VM.
        is_available: Whether it serves: its VM is in phase serving, listed as
            live, and its status page answered lately.
    """

    service: str
    vm_id: str
    zone: str
    rack: str
    is_available: bool


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetHolds:
    """The budget holds.

    Attributes:
        spare_instances: Instances beyond what the budget needs after the loss
            that it is to survive.
    """

    spare_instances: int


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetViolated:
    """The budget doesn't hold.

    Attributes:
        service: Name of the service.
        reason: Which instances are missing, after which loss.
    """

    service: str
    reason: str


BudgetCheck = BudgetHolds | BudgetViolated


def check_budget(
    service: model.Service,
    instances: Iterable[InstanceHealth],
    without_vms: frozenset[str] = frozenset(),
) -> BudgetCheck:
    """Checks a service's budget after VMs leave and after its stated loss.

    Args:
        service: The service with its budget.
        instances: Instances of any services; others are ignored.
        without_vms: VMs that are to leave service.

    Returns:
        Whether the minimum holds after `without_vms` have left and the largest
        failure domain that the budget is to survive is then lost too.
    """
    remaining = [
        item
        for item in instances
        if item.service == service.name
        and item.is_available
        and item.vm_id not in without_vms
    ]
    loss = _find_largest_loss(service.budget.survives, remaining)
    spare = len(remaining) - loss - service.budget.minimum_instances
    if spare >= 0:
        return BudgetHolds(spare)
    return BudgetViolated(
        service.name,
        f"{len(remaining)} instances of {service.name} would serve, and "
        f"{len(remaining) - loss} after the loss of one "
        f"{service.budget.survives.value}; its budget needs "
        f"{service.budget.minimum_instances}",
    )


def check_all_budgets(
    services: tuple[model.Service, ...],
    instances: tuple[InstanceHealth, ...],
    without_vms: frozenset[str] = frozenset(),
) -> BudgetCheck:
    """Checks all budgets; returns the first violation or the least spare."""
    spare: int | None = None
    for service in services:
        match check_budget(service, instances, without_vms):
            case BudgetViolated() as violated:
                return violated
            case BudgetHolds(spare_instances=count):
                spare = count if spare is None else min(spare, count)
    return BudgetHolds(spare or 0)


def _find_largest_loss(
    domain: model.FailureDomain, instances: list[InstanceHealth]
) -> int:
    """Returns how many instances the largest loss of that kind takes."""
    match domain:
        case model.FailureDomain.NONE:
            return 0
        case model.FailureDomain.VM:
            names = [item.vm_id for item in instances]
        case model.FailureDomain.RACK:
            names = [f"{item.zone}/{item.rack}" for item in instances]
        case model.FailureDomain.ZONE:
            names = [item.zone for item in instances]
    return max(collections.Counter(names).values(), default=0)
