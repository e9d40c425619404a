"""Differences between two bundles and what they will cause."""

from collections.abc import Iterator
import dataclasses
from typing import Any

from fireflywell.bundle import checks
from fireflywell.bundle import model
from fireflywell.fleet import vm_records


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAdded:
    """A pool, service, class or team that is new."""

    section: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRemoved:
    """A pool, service, class or team that is gone."""

    section: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChanged:
    """A key with another value."""

    section: str
    name: str
    key: str
    old: str
    new: str


@dataclasses.dataclass(frozen=True, slots=True)
class PoolResized:
    """A pool with another number of VMs."""

    pool: str
    old: int
    new: int


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetChanged:
    """A service with another availability budget."""

    service: str
    old: model.Budget
    new: model.Budget


@dataclasses.dataclass(frozen=True, slots=True)
class VmsMove:
    """VMs that a pool has above its new target and gives away.

    Attributes:
        pool: The pool.
        count: How many VMs move.
        candidates: VMs of the pool, among which the planner chooses.
    """

    pool: str
    count: int
    candidates: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SignersChanged:
    """Other reviewers, or another threshold, sign the next bundle."""

    added: tuple[str, ...]
    removed: tuple[str, ...]
    old_threshold: int
    new_threshold: int


@dataclasses.dataclass(frozen=True, slots=True)
class MaintenanceBlocked:
    """A budget that leaves no room to drain a single VM."""

    service: str


Change = (
    EntryAdded
    | EntryRemoved
    | KeyChanged
    | PoolResized
    | BudgetChanged
    | VmsMove
    | SignersChanged
    | MaintenanceBlocked
)

_SEPARATE_KEYS = {"name", "target_vms", "budget"}


def compare_bundles(
    old: model.Bundle | None,
    new: model.Bundle,
    assignments: tuple[vm_records.VmRecord, ...],
    zones: int = checks.DEFAULT_ZONES,
) -> tuple[Change, ...]:
    """Returns the differences and their effects.

    Args:
        old: The bundle in force; None if there is none.
        new: The bundle under review.
        assignments: Records of all VMs.
        zones: Availability zones that pools are spread over.
    """
    changes: list[Change] = []
    for section in ("pools", "services", "classes", "teams"):
        before = getattr(old, section) if old else ()
        changes += _compare_entries(section, before, getattr(new, section))
    if old is not None:
        changes += _compare_keys(
            "maintenance", "", old.maintenance, new.maintenance
        )
        changes += _compare_signers(old.signing, new.signing)
    changes += _find_moves(new, assignments)
    changes += _find_blocked(new, zones)
    return tuple(changes)


def is_tighter(change: Change) -> bool:
    """Returns whether a change takes something away."""
    match change:
        case EntryRemoved() | VmsMove() | MaintenanceBlocked():
            return True
        case PoolResized(old=old, new=new):
            return new < old
        case BudgetChanged(old=old, new=new):
            order = list(model.FailureDomain)
            return new.minimum_instances > old.minimum_instances or order.index(
                new.survives
            ) > order.index(old.survives)
        case SignersChanged(removed=removed):
            return bool(removed)
        case EntryAdded() | KeyChanged():
            return False


def describe_change(change: Change) -> str:
    """Returns one line for operators."""
    match change:
        case EntryAdded(section, name):
            return f"{section}[{name}]: added"
        case EntryRemoved(section, name):
            return f"{section}[{name}]: removed"
        case KeyChanged(section, name, key, old, new):
            place = f"{section}[{name}]" if name else section
            return f"{place}.{key}: {old} -> {new}"
        case PoolResized(pool, old, new):
            verb = "shrinks" if new < old else "grows"
            return f"pool {pool} {verb} from {old} to {new} VMs"
        case BudgetChanged(service, old, new):
            verb = "tightens" if is_tighter(change) else "relaxes"
            return (
                f"budget of {service} {verb}: {old.minimum_instances} "
                f"instances surviving {old.survives} -> "
                f"{new.minimum_instances} surviving {new.survives}"
            )
        case VmsMove(pool, count, candidates):
            return (
                f"{count} of {len(candidates)} VMs of pool {pool} would move: "
                f"chosen from {', '.join(candidates)}"
            )
        case SignersChanged() as signers:
            return _describe_signers(signers)
        case MaintenanceBlocked(service):
            return (
                f"budget of {service} leaves no room to drain a VM, so "
                "maintenance of its pool can't run"
            )


def _describe_signers(change: SignersChanged) -> str:
    parts = [f"added {name}" for name in change.added]
    parts += [f"removed {name}" for name in change.removed]
    if change.old_threshold != change.new_threshold:
        parts.append(
            f"threshold {change.old_threshold} -> {change.new_threshold}"
        )
    return f"signers of the next bundle change: {', '.join(parts)}"


def _compare_entries(
    section: str, before: tuple[Any, ...], after: tuple[Any, ...]
) -> Iterator[Change]:
    old = {entry.name: entry for entry in before}
    new = {entry.name: entry for entry in after}
    for name in sorted(old.keys() - new.keys()):
        yield EntryRemoved(section, name)
    for name in sorted(new.keys() - old.keys()):
        yield EntryAdded(section, name)
    for name in sorted(old.keys() & new.keys()):
        match old[name], new[name]:
            case model.Pool(target_vms=was), model.Pool(target_vms=now):
                if was != now:
                    yield PoolResized(name, was, now)
            case model.Service(budget=was), model.Service(budget=now):
                if was != now:
                    yield BudgetChanged(name, was, now)
        yield from _compare_keys(section, name, old[name], new[name])


def _compare_keys(
    section: str, name: str, old: Any, new: Any
) -> Iterator[Change]:
    for field in dataclasses.fields(old):
        if field.name in _SEPARATE_KEYS:
            continue
        was, now = getattr(old, field.name), getattr(new, field.name)
        if was != now:
            yield KeyChanged(section, name, field.name, str(was), str(now))


def _compare_signers(
    old: model.Signing, new: model.Signing
) -> Iterator[Change]:
    was, now = set(old.reviewers), set(new.reviewers)
    if was != now or old.threshold != new.threshold:
        yield SignersChanged(
            added=tuple(sorted(item.name for item in now - was)),
            removed=tuple(sorted(item.name for item in was - now)),
            old_threshold=old.threshold,
            new_threshold=new.threshold,
        )


def _find_moves(
    new: model.Bundle, assignments: tuple[vm_records.VmRecord, ...]
) -> Iterator[Change]:
    targets = {pool.name: pool.target_vms for pool in new.pools}
    members: dict[str, list[str]] = {}
    for record in assignments:
        members.setdefault(record.pool, []).append(record.vm_id)
    for pool, vm_ids in sorted(members.items()):
        surplus = len(vm_ids) - targets.get(pool, 0)
        if surplus > 0:
            yield VmsMove(pool, surplus, tuple(sorted(vm_ids)))


def _find_blocked(new: model.Bundle, zones: int) -> Iterator[Change]:
    sizes = {pool.name: pool.target_vms for pool in new.pools}
    for service in new.services:
        size = sizes.get(service.pool, 0)
        lost = checks.count_lost_vms(service.budget.survives, size, zones)
        is_blocked = size - 1 - lost < service.budget.minimum_instances
        if new.maintenance.enabled and size and is_blocked:
            yield MaintenanceBlocked(service.name)
