"""What callers ask for: jobs, their steps and the policy of their queue."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ResourceAmounts:
    """Resources that one unit occupies on a worker.

    Attributes:
        cpu_millis: Thousandths of a core.
        memory_mb: Memory.
        accelerators: Number of accelerators.
    """

    cpu_millis: int
    memory_mb: int
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A group of identical units of a job.

    Attributes:
        count: Number of units.
        demand: Resources of one unit.
        estimated_s: Declared duration of one unit; often far off.
        after: Indexes of the steps that must be done first.
        is_checkpointing: Whether a unit can resume from a checkpoint.
        is_gang: Whether all units must run at the same time.
        needs_single_rack: Whether units are slower on more than one rack.
        required_label: Label that the worker must have; empty for none.
        preferred_rack: Rack where the data is; empty for none.
        max_per_worker: Limit of units on one worker; 0 for none.
        is_speculative: Whether copies of a unit may run in parallel.
        is_long_running: Whether units run until the job is cancelled.
        image: What the units run; units of an image behave alike.
        target_ms: Limit of the tail of response times that a long-running
            unit serves with; 0 for none.
        is_filling: Whether units use only what other units leave unused.
        may_be_away: How many units planned work may interrupt at a time.
    """

    count: int
    demand: ResourceAmounts
    estimated_s: float = 1.0
    after: tuple[int, ...] = ()
    is_checkpointing: bool = False
    is_gang: bool = False
    needs_single_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_worker: int = 0
    is_speculative: bool = False
    is_long_running: bool = False
    image: str = ""
    target_ms: float = 0.0
    is_filling: bool = False
    may_be_away: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Recurrence:
    """Times at which all steps of a job run again.

    Attributes:
        first_unix_ms: Due time of the first occurrence.
        interval_ms: Time between occurrences.
        repetitions: Number of occurrences.
    """

    first_unix_ms: int
    interval_ms: int
    repetitions: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobRequest:
    """A job as its caller submitted it.

    Attributes:
        specification: Opaque text that is passed to each unit.
        steps: The steps.
        recurrence: When the steps run again, or None to run them once.
    """

    specification: str
    steps: tuple[Step, ...]
    recurrence: Recurrence | None = None

    @property
    def occurrences(self) -> int:
        """How often the steps run."""
        return self.recurrence.repetitions if self.recurrence else 1


@dataclasses.dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """The service that decides which workers may run a queue's steps.

    Attributes:
        decision_s: Fixed time of one call.
        per_worker_s: Time for each worker named in a call.
        validity_s: How long a ticket is valid.
    """

    decision_s: float
    per_worker_s: float
    validity_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class QueuePolicy:
    """How the jobs of one queue are treated.

    Attributes:
        queue: Name of the queue.
        service: Service whose workers run the units.
        priority: 0 comes first.
        max_attempts: Failed runs of one unit after which the job fails.
        stretch_factor: Part of the objective, times the chain of work.
        target_s: Fixed part of the objective.
        advice: Decides on eligible workers, or None if all are.
    """

    queue: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch_factor: float = 1.0
    target_s: float = 1.0
    advice: AdvicePolicy | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """An accepted job as it is stored.

    Attributes:
        job_id: Identifier chosen by the caller.
        policy: Policy of the queue at the time of acceptance.
        request: The job.
        accepted_at_s: Time of acceptance on the store's steady clock.
    """

    job_id: str
    policy: QueuePolicy
    request: JobRequest
    accepted_at_s: float
