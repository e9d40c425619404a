"""Instances as this entry uses them: connections, slots, home, ejection."""

import dataclasses

from fireflywell import clock as clock_lib
from fireflywell.bundle import holder as holder_lib
from fireflywell.entry import homes as homes_lib
from fireflywell.entry import instance_client
from fireflywell.entry import pause_guard
from fireflywell.fleet import instances as instances_lib
from fireflywell.fleet import view as view_lib
from fireflywell.requests import ejection as ejection_lib
from fireflywell.requests import routing


class TrackedInstance:
    """One instance with the slots that this entry holds on it."""

    __slots__ = ("client", "in_progress", "instance", "long_in_progress")

    def __init__(
        self,
        instance: instances_lib.Instance,
        client: instance_client.InstanceClient,
    ) -> None:
        self.instance = instance
        self.client = client
        self.in_progress = 0
        self.long_in_progress = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SlotCounts:
    """Slots of one service at this entry."""

    total: int
    free: int


class InstanceTable:
    """Keeps the list of instances until the bundle or the fleet changes."""

    __slots__ = (
        "_by_service",
        "_clock",
        "_ejections",
        "_entries",
        "_guard",
        "_holder",
        "_homes",
        "_retired",
        "_view",
        "_view_version",
        "_bundle_version",
        "_zone",
    )

    def __init__(
        self,
        holder: holder_lib.BundleHolder,
        view: view_lib.FleetView,
        homes: homes_lib.Homes,
        guard: pause_guard.SendGuard,
        zone: str,
        clock: clock_lib.Clock,
    ) -> None:
        self._holder = holder
        self._view = view
        self._homes = homes
        self._guard = guard
        self._zone = zone
        self._clock = clock
        self._entries: dict[str, TrackedInstance] = {}
        self._by_service: dict[str, tuple[TrackedInstance, ...]] = {}
        self._ejections: dict[str, ejection_lib.EjectionTracker] = {}
        self._retired: list[TrackedInstance] = []
        self._view_version = -1
        self._bundle_version = -1

    def list_service(self, service: str) -> tuple[TrackedInstance, ...]:
        """Returns the instances of a service."""
        self._update()
        return self._by_service.get(service, ())

    def list_homes(self, service: str) -> tuple[str, ...]:
        """Returns a service's instances whose home this entry is."""
        names = (
            item.instance.instance_id for item in self.list_service(service)
        )
        return tuple(name for name in names if self._homes.is_home(name))

    def list_ejected(self, service: str) -> tuple[str, ...]:
        """Returns a service's instances that are ejected."""
        ejections = self._find_ejections(service)
        names = (
            item.instance.instance_id for item in self.list_service(service)
        )
        return tuple(name for name in names if ejections.is_ejected(name))

    def count_slots(self, service: str) -> SlotCounts:
        """Returns the slots that this entry may fill and can fill now."""
        ejections = self._find_ejections(service)
        total = free = 0
        for entry in self.list_service(service):
            instance_id = entry.instance.instance_id
            is_ejected = ejections.is_ejected(instance_id)
            if is_ejected or not self._accepts_work(entry):
                continue
            total += self._count_allowed(entry)
            if ejections.is_on_trial(instance_id):
                free += not entry.in_progress
            else:
                free += self._count_free(entry)
        return SlotCounts(total, free)

    def reserve(
        self,
        service: str,
        is_long: bool,
        excluded: frozenset[str] = frozenset(),
    ) -> TrackedInstance | routing.NoRoute:
        """Takes a slot on the best instance; call `release` in the end.

        Args:
            service: Name of the service.
            is_long: Whether the request is long.
            excluded: Instances not to use.
        """
        entries = self.list_service(service)
        decision = routing.choose_instance(
            tuple(
                self._make_candidate(entry)
                for entry in entries
                if entry.instance.instance_id not in excluded
            ),
            self._zone,
            is_long,
        )
        match decision:
            case routing.RouteTo(instance=instance):
                entry = self._entries[instance.instance_id]
                entry.in_progress += 1
                entry.long_in_progress += is_long
                return entry
            case routing.NoRoute() as no_route:
                return no_route

    def release(self, entry: TrackedInstance, is_long: bool) -> None:
        """Gives a slot back that `reserve` took with the same `is_long`."""
        entry.in_progress -= 1
        entry.long_in_progress -= is_long

    def may_send(self, entry: TrackedInstance) -> bool:
        """Whether new work may go to an instance whose slot was reserved."""
        self._update()
        current = self._entries.get(entry.instance.instance_id)
        return current is entry and self._accepts_work(entry)

    def record_result(self, entry: TrackedInstance, succeeded: bool) -> None:
        """Counts a result for the ejection of failing instances."""
        tracker = self._find_ejections(entry.instance.service)
        tracker.note_result(entry.instance.instance_id, succeeded)

    def count_in_progress(self, instance_id: str) -> int:
        """Returns the requests of this entry on an instance."""
        return sum(
            entry.in_progress
            for entry in (*self._entries.values(), *self._retired)
            if entry.instance.instance_id == instance_id
        )

    def count_on_vm(self, vm_id: str) -> int:
        """Returns the requests of this entry on all instances of a VM."""
        return sum(
            entry.in_progress
            for entry in (*self._entries.values(), *self._retired)
            if entry.instance.vm_id == vm_id
        )

    async def close_retired(self) -> None:
        """Closes the connections of instances that are gone and idle."""
        idle = [entry for entry in self._retired if not entry.in_progress]
        for entry in idle:
            self._retired.remove(entry)
            await entry.client.close()

    async def close(self) -> None:
        """Closes all connections."""
        for entry in (*self._entries.values(), *self._retired):
            await entry.client.close()

    def _update(self) -> None:
        view_version = self._view.version
        bundle_version = self._holder.version
        if (
            view_version == self._view_version
            and bundle_version == self._bundle_version
        ):
            return
        self._view_version = view_version
        self._bundle_version = bundle_version
        by_service: dict[str, list[TrackedInstance]] = {}
        previous, self._entries = self._entries, {}
        for instance in self._view.list_instances(self._holder):
            known = previous.pop(instance.instance_id, None)
            entry = self._renew(known, instance)
            self._entries[instance.instance_id] = entry
            by_service.setdefault(instance.service, []).append(entry)
        self._retired.extend(previous.values())
        self._by_service = {
            name: tuple(entries) for name, entries in by_service.items()
        }
        for name, entries in self._by_service.items():
            self._find_ejections(name).set_instances(
                tuple(entry.instance.instance_id for entry in entries)
            )

    def _renew(
        self, known: TrackedInstance | None, instance: instances_lib.Instance
    ) -> TrackedInstance:
        if known is not None and known.client.serves(instance):
            known.instance = instance
            return known
        entry = TrackedInstance(
            instance, instance_client.InstanceClient(instance, self._guard)
        )
        if known is not None:
            self._retired.append(known)
        return entry

    def _accepts_work(self, entry: TrackedInstance) -> bool:
        return (
            not entry.instance.is_leaving
            and not self._view.is_vm_leaving(entry.instance.vm_id)
            and self._homes.is_home(entry.instance.instance_id)
        )

    def _count_allowed(self, entry: TrackedInstance) -> int:
        usable = self._homes.usable_slots(entry.instance.instance_id)
        return max(0, min(entry.instance.slots, usable))

    def _count_free(self, entry: TrackedInstance) -> int:
        retired = 0
        if self._retired:
            retired = sum(
                old.in_progress
                for old in self._retired
                if old.instance.instance_id == entry.instance.instance_id
            )
        return max(0, self._count_allowed(entry) - entry.in_progress - retired)

    def _make_candidate(self, entry: TrackedInstance) -> routing.Candidate:
        instance = entry.instance
        ejections = self._find_ejections(instance.service)
        is_open = self._accepts_work(entry)
        free = self._count_free(entry) if is_open else 0
        return routing.Candidate(
            instance=instance,
            in_progress=instance.slots - free,
            is_home=self._homes.is_home(instance.instance_id),
            is_ejected=ejections.is_ejected(instance.instance_id),
            long_in_progress=entry.long_in_progress,
            is_on_trial=ejections.is_on_trial(instance.instance_id),
        )

    def _find_ejections(self, service: str) -> ejection_lib.EjectionTracker:
        tracker = self._ejections.get(service)
        if tracker is None:
            tracker = ejection_lib.EjectionTracker(self._clock)
            self._ejections[service] = tracker
        return tracker
