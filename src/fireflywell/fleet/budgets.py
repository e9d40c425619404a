"""Availability budgets: whether VMs may leave service."""

import collections
from collections.abc import Iterable
import dataclasses

from fireflywell.bundle import model


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceHealth:
    """Health of one instance, the input of a budget check.

    Attributes:
        service: Name of the service.
        vm_id: VM that the instance runs on.
        zone: Availability zone of the VM.
        rack: Rack of the VM.
        is_available: Whether it serves: its VM is in phase serving and listed
            as live, and its status page answered within the last seconds.
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
        spare_instances: Instances beyond the minimum that remain after the
            loss of the failure domain that the budget must survive.
    """

    spare_instances: int


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetViolated:
    """The budget doesn't hold.

    Attributes:
        service: Name of the service.
        reason: Numbers of instances before and after the loss of a failure
            domain, and the minimum.
    """

    service: str
    reason: str


BudgetCheck = BudgetHolds | BudgetViolated


def check_budget(
    service: model.Service,
    instances: Iterable[InstanceHealth],
    without_vms: frozenset[str] = frozenset(),
) -> BudgetCheck:
    """Checks whether a service's budget still holds after VMs leave service.

    Args:
        service: The service with its budget.
        instances: Instances of any services; others are ignored.
        without_vms: VMs that would leave service.

    Returns:
        `BudgetHolds` if the minimum is met after `without_vms` have left and
        the largest failure domain that the budget must survive is lost too;
        otherwise `BudgetViolated`.
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
    """Returns the first budget violation, or the fewest spare instances."""
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
    """Returns the number of instances in the largest domain of that kind."""
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
