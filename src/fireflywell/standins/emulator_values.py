"""Settings of the emulator, the faults it makes and what it has seen."""

import dataclasses
import typing
from typing import Any

import cattrs

from fireflywell import errors

# On the control address, the path of a row's table, partition and key follows.
ROWS_PATH = "/rows/"


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerSettings:
    """One worker.

    Attributes:
        name: Name of its machine; each life of the worker has an id of its
            own.
        service: Service that it belongs to.
        address: Host and port on which the emulator serves it.
        listed_address: Host and port in its entry, such as a proxy's.
        other_address: Host and port in its entry while an `AddressChange`
            lasts.
        rack: Rack.
    """

    name: str
    service: str
    address: str
    listed_address: str
    other_address: str
    rack: str


@dataclasses.dataclass(frozen=True, slots=True)
class EmulatorSettings:
    """Settings of the emulator process.

    Attributes:
        store_address: Host and port of the row store and the list of VMs.
        control_address: Host and port for faults and records.
        services: Services; each has a queue of the same name.
        workers: Workers.
        unit_s: How long a unit of a job runs.
        max_hold_s: Longest lease that workers grant.
        machines_per_page: VMs in a page of their list.
    """

    store_address: str
    control_address: str
    services: tuple[str, ...]
    workers: tuple[WorkerSettings, ...]
    unit_s: float = 0.4
    max_hold_s: float = 6.0
    machines_per_page: int = 4


@dataclasses.dataclass(frozen=True, slots=True)
class StoreDown:
    """The store refuses all calls."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSlow:
    """Each call to the store takes longer."""

    seconds: float
    delay_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AnswersLost:
    """The next transactions are carried out and not answered."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store forgets all changes so far."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreBehind:
    """Reads of the store show it as it was a while ago."""

    seconds: float
    lag_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionsLate:
    """Some transactions get no answer and are applied seconds later.

    Attributes:
        seconds: For how long transactions are affected.
        share: Share of the affected ones.
        tables: Tables in which they put a row.
    """

    seconds: float
    share: float
    tables: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AddressChange:
    """A worker's entry names its other address, under the same id."""

    worker: str
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClockJump:
    """The clock that dates the starts of a worker is ahead or behind."""

    worker: str
    seconds: float
    offset_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerCrash:
    """A worker ends without a word; a new life comes after a while.

    Attributes:
        worker: Name of its machine.
        seconds: Time until the new life.
        keeps_id: Whether the new life has the id of the former one.
    """

    worker: str
    seconds: float
    keeps_id: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerDrain:
    """A worker says that it leaves, ends, and comes back as a new life."""

    worker: str
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerFails:
    """All units on a worker fail."""

    worker: str
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartsUnanswered:
    """A worker carries out its next starts without an answer."""

    worker: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrdersLate:
    """A worker carries out some orders seconds later, without an answer.

    Attributes:
        worker: Name of its machine.
        seconds: For how long orders are affected.
        share: Share of the affected orders, except report requests.
        report_share: Share of the affected report requests. It is smaller, as
            a worker that doesn't report gets no starts.
    """

    worker: str
    seconds: float
    share: float
    report_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class OrdersRejected:
    """A worker answers 429 or 503 to some orders and does nothing.

    Its attributes are those of `OrdersLate`.
    """

    worker: str
    seconds: float
    share: float
    report_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class OrdersLost:
    """A worker neither carries out nor answers some orders.

    Its attributes are those of `OrdersLate`. With both shares at 1 the worker
    is silent; its entry stays.
    """

    worker: str
    seconds: float
    share: float
    report_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationSeries:
    """Configurations follow each other; each adds a queue.

    Attributes:
        first_version: Version of the first one; the others follow by one.
        count: Number of configurations.
        interval_s: Time between them.
        size_bytes: Added to the size of each.
    """

    first_version: int
    count: int
    interval_s: float
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class WaveRequested:
    """Operators ask for a maintenance wave.

    Attributes:
        wave: Number of the wave.
        machines: The VMs; some may not exist.
        duration_s: Time in which each of them is to be maintained.
        max_count: How many may be down at once.
    """

    wave: int
    machines: tuple[str, ...]
    duration_s: float
    max_count: int


Fault = (
    ConfigurationSeries
    | WaveRequested
    | StoreDown
    | StoreSlow
    | AnswersLost
    | HistoryLost
    | StoreBehind
    | TransactionsLate
    | AddressChange
    | ClockJump
    | WorkerCrash
    | WorkerDrain
    | WorkerFails
    | StartsUnanswered
    | OrdersLate
    | OrdersRejected
    | OrdersLost
)

_KINDS: dict[str, type[Fault]] = {
    kind.__name__: kind for kind in typing.get_args(Fault)
}


@dataclasses.dataclass(frozen=True, slots=True)
class StartSeen:
    """A start that a worker carried out; times are monotonic seconds."""

    life: str
    unit: str
    run: int
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndSeen:
    """An end of a run.

    Attributes:
        life: Life of the worker.
        unit: Name of the unit.
        run: Number of the run.
        kind: How it ended; `broken` if the worker ended.
        at_s: Monotonic time.
        is_noted: Whether an owner has taken note of it before the worker's
            lease lapsed.
    """

    life: str
    unit: str
    run: int
    kind: str
    at_s: float
    is_noted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeSeen:
    """A configuration that was stored; times are monotonic seconds."""

    version: int
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LifeSeen:
    """A life of a worker; times are monotonic seconds.

    Attributes:
        life: Its name in starts and ends.
        worker: Name of the worker's machine.
        service: Service that it belongs to.
        cpu_millis: CPU that it offers.
        begun_s: When it began.
        leaving_s: When it said that it leaves, or None.
        ended_s: When it ended, or None.
    """

    life: str
    worker: str
    service: str
    cpu_millis: int
    begun_s: float
    leaving_s: float | None
    ended_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class StartHeld:
    """A start that arrived and was lost, or is carried out late."""

    unit: str
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LateWrite:
    """A transaction that was late and got no answer.

    Attributes:
        rows: Table, partition and key of each row that it puts.
        at_s: Monotonic time at which it was applied or refused.
        delay_s: How late it was.
        is_applied: Whether its condition still held.
    """

    rows: tuple[str, ...]
    at_s: float
    delay_s: float
    is_applied: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UpkeepSeen:
    """The maintenance of a VM that has begun.

    Attributes:
        wave: Number of the wave.
        machine: The VM.
        at_s: Monotonic time.
        down: How many VMs were down for the wave then, with this one.
        state: State of the wave that was stored then; empty if none was.
    """

    wave: int
    machine: str
    at_s: float
    down: int
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class WaveSeen:
    """A requested wave.

    Attributes:
        wave: Number of the wave.
        machines: Those of its VMs that exist.
        max_count: How many may be down at once.
        state: The stored state; empty if there is none.
    """

    wave: int
    machines: tuple[str, ...]
    max_count: int
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """All that the workers and the store have seen so far.

    Attributes:
        starts: Starts, by worker.
        ends: Ends, by worker.
        active: Units that run now, once for each run.
        changes: Configurations that were stored by a series.
        lives: Lives of all workers.
        held: Starts that got no answer because of a fault.
        late_writes: Transactions that were late.
        upkeeps: Maintenance that has begun, in order.
        waves: Requested waves.
    """

    starts: tuple[StartSeen, ...]
    ends: tuple[EndSeen, ...]
    active: tuple[str, ...]
    changes: tuple[ChangeSeen, ...] = ()
    lives: tuple[LifeSeen, ...] = ()
    held: tuple[StartHeld, ...] = ()
    late_writes: tuple[LateWrite, ...] = ()
    upkeeps: tuple[UpkeepSeen, ...] = ()
    waves: tuple[WaveSeen, ...] = ()


def name_added_queue(version: int) -> str:
    """Returns the name of the queue that a version of a series adds."""
    return f"added-{version}"


def encode_fault(fault: Fault) -> dict[str, Any]:
    """Returns the document that asks for a fault."""
    return {"kind": type(fault).__name__, "fields": cattrs.unstructure(fault)}


def decode_fault(document: dict[str, Any]) -> Fault:
    """Reads a fault.

    Raises:
        MalformedRequestError: It isn't one that the emulator makes.
    """
    try:
        kind = _KINDS[document["kind"]]
        fault: Fault = cattrs.structure(document["fields"], kind)
    except Exception as error:
        raise errors.MalformedRequestError(
            f"not a fault: {error!r}; use one of {', '.join(_KINDS)}"
        ) from error
    return fault


def encode_records(records: Records) -> dict[str, Any]:
    """Returns the document that holds records."""
    document: dict[str, Any] = cattrs.unstructure(records)
    return document


def decode_records(document: dict[str, Any]) -> Records:
    """Reads records."""
    return cattrs.structure(document, Records)
