"""Free capacity of a service's workers and the runs placed on them."""

import dataclasses
import datetime

from fireflywell.scheduling import model
from fireflywell.scheduling import runs as runs_lib
from fireflywell.scheduling import steps as steps_lib

# Starts without an answer that a worker may have: enough to fill an empty
# worker at once, because a busy owner reads answers late. Further units go to
# other workers.
MAX_OPEN_STARTS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerInstance:
    """One incarnation of a worker, as listed by the instance registry.

    Attributes:
        instance_id: Identifier of the worker; a restart may keep it.
        service: Service that the worker belongs to.
        address: Host and port.
        zone: Availability zone.
        rack: Rack, empty if unknown.
        labels: All labels, which include the rack.
        capacity: Resources that it offers.
        is_draining: Whether it leaves soon and gets no new units.
        leaves_in: Time until it leaves, None if unknown.
        started_unix_ms: Start of this incarnation; 0 if unknown.
        vm_id: VM that it runs on, empty if unknown.
        row_version: Version of the entry in the store; entries that were
            written later have higher ones.
    """

    instance_id: str
    service: str
    address: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    capacity: model.ResourceAmounts
    is_draining: bool = False
    leaves_in: datetime.timedelta | None = None
    started_unix_ms: int = 0
    vm_id: str = ""
    row_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UnclaimedRun:
    """A run that a worker lists and that no unit accounts for.

    Its job is over or unknown, its unit is done or has another run, or the
    worker has moved here from another service. Its stop is requested; until it
    has ended it takes the worker's capacity.

    Attributes:
        unit: Name of the unit.
        number: Number of the run.
        spec: Step of the unit; None if it isn't known.
    """

    unit: str
    number: int
    spec: model.Step | None

    @property
    def step_key(self) -> str:
        """Identifier of the step in this occurrence."""
        return self.unit.rpartition(".")[0]


class Worker:
    """A worker's free capacity and the runs on it."""

    __slots__ = (
        "avoid_until_s",
        "consecutive_failures",
        "filling_units",
        "free_accelerators",
        "free_cpu",
        "free_memory",
        "instance",
        "is_cordoned",
        "is_due_for_maintenance",
        "is_from_spare_pool",
        "is_reachable",
        "report_requested_s",
        "reported_s",
        "runs",
        "slow_factor",
        "unclaimed_runs",
        "units_per_step",
        "_short_accelerators",
        "_short_cpu",
        "_short_memory",
        "_unanswered",
    )

    def __init__(self, instance: WorkerInstance) -> None:
        self.instance = instance
        self.free_cpu = instance.capacity.cpu_millis
        self.free_memory = instance.capacity.memory_mb
        self.free_accelerators = instance.capacity.accelerators
        # Resources of the runs of short units, which end by themselves.
        self._short_cpu = 0
        self._short_memory = 0
        self._short_accelerators = 0
        self.runs: dict[tuple[str, int], runs_lib.Run] = {}
        # Runs whose start it may not have answered.
        self._unanswered: list[runs_lib.Run] = []
        # Runs in the last report that aren't among these.
        self.unclaimed_runs: tuple[UnclaimedRun, ...] = ()
        # Number of the runs of filling units.
        self.filling_units = 0
        self.units_per_step: dict[str, int] = {}
        self.is_reachable = False
        # Whether its VM belongs to the spare pool and moves away after a peak
        # of demand.
        self.is_from_spare_pool = False
        # Monotonic time of the last report.
        self.reported_s = 0.0
        # Monotonic time at which that report was requested; the worker wrote
        # it later.
        self.report_requested_s = 0.0
        # Whether a wave has yet to maintain its VM.
        self.is_due_for_maintenance = False
        self.is_cordoned = False
        # Gets no new runs before this monotonic time.
        self.avoid_until_s = 0.0
        self.consecutive_failures = 0
        # Ratio of the smoothed duration of its units to their steps'
        # expectation.
        self.slow_factor = 1.0

    @property
    def worker_id(self) -> str:
        """Identifier of the worker."""
        return self.instance.instance_id

    def replace_instance(self, instance: WorkerInstance) -> None:
        """Applies a changed entry; the runs keep their resources."""
        old = self.instance.capacity
        new = instance.capacity
        self.free_cpu += new.cpu_millis - old.cpu_millis
        self.free_memory += new.memory_mb - old.memory_mb
        self.free_accelerators += new.accelerators - old.accelerators
        self.instance = instance

    @property
    def open_starts(self) -> int:
        """Number of its runs whose start it hasn't answered.

        Runs whose start was answered leave the list, so that a planning pass
        doesn't look at all runs of each worker.
        """
        if self._unanswered:
            self._unanswered = [r for r in self._unanswered if r.is_start_open]
        return len(self._unanswered)

    @property
    def has_unknown_runs(self) -> bool:
        """Whether it lists runs of which the resources aren't known."""
        return any(run.spec is None for run in self.unclaimed_runs)

    @property
    def is_closed(self) -> bool:
        """Whether no start may be sent to it, also of units placed before.

        A worker may start whatever it is told to, so the owner alone keeps it
        within its capacity.
        """
        return (
            self.instance.is_draining
            or self.free_cpu < 0
            or self.free_memory < 0
            or self.free_accelerators < 0
            or self.has_unknown_runs
        )

    def accepts_runs(self, now_s: float) -> bool:
        """Returns whether new runs of any step may be placed on the worker."""
        return (
            self.is_reachable
            and not self.is_closed
            and not self.is_cordoned
            and now_s >= self.avoid_until_s
        )

    def fits(self, step: steps_lib.StepOccurrence) -> bool:
        """Returns whether one more unit of a step fits on the worker."""
        spec = step.spec
        demand = spec.demand
        if not spec.is_filling and demand.cpu_millis > self.free_cpu:
            return False
        if demand.memory_mb > self.free_memory:
            return False
        if demand.accelerators > self.free_accelerators:
            return False
        if spec.required_label and (
            spec.required_label not in self.instance.labels
        ):
            return False
        return (
            not spec.max_per_worker
            or self.units_per_step.get(step.key, 0) < spec.max_per_worker
        )

    def count_holdable(self, step: steps_lib.StepOccurrence) -> int:
        """Returns how many units of a step fit once all short units ended.

        Long-running units keep their capacity.
        """
        return self._count_units(
            step,
            self.free_cpu + self._short_cpu,
            self.free_memory + self._short_memory,
            self.free_accelerators + self._short_accelerators,
        )

    def count_fitting(self, step: steps_lib.StepOccurrence) -> int:
        """Returns how many units of a step fit now."""
        return self._count_units(
            step, self.free_cpu, self.free_memory, self.free_accelerators
        )

    def _count_units(
        self,
        step: steps_lib.StepOccurrence,
        cpu: int,
        memory: int,
        accelerators: int,
    ) -> int:
        """Returns how many units of a step fit into an amount of resources."""
        spec = step.spec
        if spec.required_label and (
            spec.required_label not in self.instance.labels
        ):
            return 0
        limits = [spec.max_per_worker or spec.count]
        if spec.max_per_worker:
            limits[0] -= self.units_per_step.get(step.key, 0)
        if spec.demand.cpu_millis and not spec.is_filling:
            limits.append(cpu // spec.demand.cpu_millis)
        if spec.demand.memory_mb:
            limits.append(memory // spec.demand.memory_mb)
        if spec.demand.accelerators:
            limits.append(accelerators // spec.demand.accelerators)
        return max(0, min(limits))

    def add_run(self, run: runs_lib.Run) -> None:
        """Adds a run and allocates its resources."""
        step = run.unit.step
        self.runs[run.unit.name, run.number] = run
        self._unanswered.append(run)
        self.filling_units += step.spec.is_filling
        self._change_free_capacity(step.spec, -1)
        self._count_unit(step.key, 1)

    def remove_run(self, run: runs_lib.Run) -> None:
        """Removes an ended run and releases its resources, at most once."""
        if self.runs.pop((run.unit.name, run.number), None) is None:
            return
        step = run.unit.step
        self.filling_units -= step.spec.is_filling
        self._change_free_capacity(step.spec, 1)
        self._count_unit(step.key, -1)

    def replace_unclaimed_runs(self, runs: tuple[UnclaimedRun, ...]) -> None:
        """Sets the runs of the last report that aren't in `runs`."""
        for run in self.unclaimed_runs:
            self._count_unclaimed(run, -1)
        self.unclaimed_runs = runs
        for run in runs:
            self._count_unclaimed(run, 1)

    def _count_unclaimed(self, run: UnclaimedRun, sign: int) -> None:
        self._count_unit(run.step_key, sign)
        if run.spec is not None:
            self._change_free_capacity(run.spec, -sign, is_ending=True)

    def _count_unit(self, step_key: str, change: int) -> None:
        count = self.units_per_step.get(step_key, 0) + change
        if count:
            self.units_per_step[step_key] = count
        else:
            del self.units_per_step[step_key]

    def _change_free_capacity(
        self, spec: model.Step, sign: int, *, is_ending: bool = False
    ) -> None:
        demand = spec.demand
        cpu = 0 if spec.is_filling else sign * demand.cpu_millis
        memory = sign * demand.memory_mb
        accelerators = sign * demand.accelerators
        self.free_cpu += cpu
        self.free_memory += memory
        self.free_accelerators += accelerators
        if is_ending or not spec.is_long_running:
            self._short_cpu -= cpu
            self._short_memory -= memory
            self._short_accelerators -= accelerators
