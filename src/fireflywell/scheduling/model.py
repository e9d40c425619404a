"""Submitted jobs, their steps and the policies of their queues."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ResourceAmounts:
    """Amounts of resources, required by a unit or offered by a worker.

    Attributes:
        cpu_millis: Thousandths of a core.
        memory_mb: Memory in MB.
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
        estimated_s: Duration of one unit declared by the caller; often far
            from the actual one.
        after: Indexes of the steps that must be done first.
        is_checkpointing: Whether a unit can resume from a checkpoint.
        is_gang: Whether all units must run at the same time.
        needs_single_rack: Whether units are slower on more than one rack.
        required_label: Label that the worker must have; empty for none.
        preferred_rack: Rack that holds the data; empty for none.
        max_per_worker: Maximum number of units on one worker; 0 for no limit.
        is_speculative: Whether copies of a unit may run in parallel.
        is_long_running: Whether units run until the job is cancelled.
        image: Image that the units run; units of an image behave alike.
        target_ms: Upper limit of the tail latency of a long-running unit; 0
            for none.
        is_filling: Whether units use only capacity that others leave unused.
        may_be_away: How many units maintenance and moves may interrupt at a
            time; 0 for no limit.
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
    """Schedule on which all steps of a job are repeated.

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
    """A job as submitted by its caller.

    Attributes:
        specification: Opaque text that is passed to each unit.
        steps: Steps in the order that `Step.after` refers to.
        recurrence: Schedule of repetitions, or None to run the steps once.
    """

    specification: str
    steps: tuple[Step, ...]
    recurrence: Recurrence | None = None

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return self.recurrence.repetitions if self.recurrence else 1


@dataclasses.dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Timing of the advice service that approves workers for a queue's steps.

    Attributes:
        decision_s: Fixed duration of one call.
        per_worker_s: Additional duration for each worker named in a call.
        validity_s: Time for which a ticket is valid.
    """

    decision_s: float
    per_worker_s: float
    validity_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Scheduling policy of the jobs of one queue.

    The objective of a job is `stretch_factor` times the duration of its
    critical path, plus `target_s`.

    Attributes:
        queue: Name of the queue.
        service: Service whose workers run the units.
        priority: Priority; 0 comes first.
        max_attempts: Number of failed runs of one unit that fail the job.
        stretch_factor: Factor of the critical path in the objective.
        target_s: Fixed part of the objective.
        advice: Policy of the advice service that approves workers, or None if
            all workers are eligible.
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
    """An accepted job, as stored.

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


@dataclasses.dataclass(frozen=True, slots=True)
class EarlyCancellation:
    """Cancels a job that wasn't stored yet, in the place of its submission.

    The store may still apply an earlier write of the submission, which fails
    where this is.

    Attributes:
        cancelled_at_s: Time of the cancellation on the store's steady clock.
    """

    cancelled_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Relocation:
    """Names the service that holds a job that its queue's origin doesn't hold.

    Attributes:
        service: Service whose partition holds the submission, once it is
            stored, and whose workers run the job.
        renewed_at_s: When a submission last relied on the relocation, on the
            store's steady clock.
    """

    service: str
    renewed_at_s: float
