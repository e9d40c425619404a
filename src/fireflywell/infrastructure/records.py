"""Data classes exchanged with the platform's services."""

import dataclasses
import datetime
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the table service.

    Attributes:
        key: Key of the row; its parts are separated by "/".
        version: Number of writes to the row; 0 means that it doesn't exist.
        revision: Revision of the whole table at the row's last write.
        value: Text stored in the row.
        write_id: Identifier of the last transaction that wrote the row.
    """

    key: str
    version: int
    revision: int
    value: str
    write_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Requires a row to have exactly this version (0: must not exist)."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Sets a row's value, or deletes the row if `value` is None."""

    key: str
    value: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied atomically if all conditions hold."""

    write_id: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was applied at this revision of the table."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A condition didn't hold; nothing was applied."""

    key: str
    actual_version: int


TransactionResult = Committed | Conflict


@dataclasses.dataclass(frozen=True, slots=True)
class ScanPage:
    """Rows of one page of a scan.

    Attributes:
        rows: Rows in order of their keys.
        deleted: Keys deleted after the requested revision.
        revision: Revision of the table when the page was read.
        more: Whether more rows follow after the last row's key.
    """

    rows: tuple[Row, ...]
    deleted: tuple[str, ...]
    revision: int
    more: bool


class VmState(enum.StrEnum):
    """State of a VM in the platform's list, which may be out of date."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One VM of the platform's list.

    Attributes:
        vm_id: Identifier of the VM.
        address: IP address.
        zone: Availability zone.
        rack: Rack, the smallest failure domain above the VM.
        state: Whether the platform is about to remove the VM.
        boot: Number of times that the VM has been started.
        is_system: Whether the VM runs processes of the system itself; it then
            belongs to no pool and isn't maintained by them.
    """

    vm_id: str
    address: str
    zone: str
    rack: str
    state: VmState
    boot: int
    is_system: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Amounts of processor cores, memory and accelerators."""

    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """One worker with its capacity and its last reported usage."""

    worker_id: str
    zone: str
    rack: str
    capacity: Resources
    used: Resources


class TaskState(enum.StrEnum):
    """State of a task on a worker."""

    RUNNING = "running"
    THROTTLED = "throttled"
    CHECKPOINTED = "checkpointed"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """One attempt of a job on a worker."""

    job_id: str
    attempt: int
    worker_id: str
    state: TaskState
    used: Resources
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskStart:
    """Asks a worker to start an attempt; idempotent by job and attempt."""

    job_id: str
    attempt: int
    command: str
    run_seconds: float
    resources: Resources
    lease: datetime.timedelta
    fencing_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskPage:
    """Tasks of all workers that changed since a revision.

    Attributes:
        tasks: Tasks with a new state or newly reported resource usage.
        revision: Revision to pass to the next request.
    """

    tasks: tuple[Task, ...]
    revision: int
