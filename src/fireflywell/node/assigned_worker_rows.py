"""Encodes the stored list of workers that may run units of a service."""

import dataclasses
import math
from typing import Any

import msgpack


@dataclasses.dataclass(frozen=True, slots=True)
class AssignedWorker:
    """An incarnation of a worker that may have runs of a service.

    Attributes:
        started_unix_ms: Start of the incarnation; 0 if unknown.
        vm_id: VM that it runs on; empty if unknown.
        runs_until_s: When its last run ends at the latest, on the store's
            clock; None while an owner may grant leases to its runs.
        entry_version: Version of its entry in the store when it was stored as
            in use; 0 if unknown. Entries of later workers of its VM have
            higher ones.
    """

    started_unix_ms: int
    vm_id: str = ""
    runs_until_s: float | None = None
    entry_version: int = dataclasses.field(default=0, compare=False)

    def is_interchangeable_with(self, other: "AssignedWorker | None") -> bool:
        """Returns whether both say the same about the incarnation's runs.

        No other worker's entry can be mistaken for proof of its end while the
        VM of either is unknown.
        """
        return (
            other is not None
            and self.started_unix_ms == other.started_unix_ms
            and self.runs_until_s == other.runs_until_s
            and (not (self.vm_id and other.vm_id) or self.vm_id == other.vm_id)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class AssignedWorkerList:
    """The stored list.

    Attributes:
        workers: The listed incarnations by worker id.
        unlisted_until_s: Time on the store's clock until which workers that
            aren't listed may have runs, too.
    """

    workers: dict[str, AssignedWorker]
    unlisted_until_s: float


def limit_times(
    workers: dict[str, AssignedWorker], latest_s: float
) -> dict[str, AssignedWorker]:
    """Returns the incarnations with the times until which they may have runs.

    Args:
        workers: The incarnations by worker id.
        latest_s: Latest time, on the store's clock; it holds also for those
            that are in use.
    """
    return {
        worker_id: dataclasses.replace(
            item,
            runs_until_s=latest_s
            if item.runs_until_s is None
            else min(item.runs_until_s, latest_s),
        )
        for worker_id, item in workers.items()
    }


def encode(assigned: AssignedWorkerList) -> bytes:
    """Returns the value of the row."""
    workers = {
        worker_id: [
            item.started_unix_ms,
            item.vm_id,
            item.runs_until_s,
            item.entry_version,
        ]
        for worker_id, item in assigned.workers.items()
    }
    return bytes(msgpack.packb([workers, assigned.unlisted_until_s]))


def decode(value: bytes) -> AssignedWorkerList:
    """Decodes the value of the row.

    Former versions stored the start of each incarnation alone or no version of
    its entry, and the time until which their own recovery waited in place of
    `unlisted_until_s`.

    Raises:
        Exception: The row holds something else.
    """
    workers, unlisted_until_s = msgpack.unpackb(value)
    return AssignedWorkerList(
        {str(key): _decode_worker(item) for key, item in workers.items()},
        _check_time(unlisted_until_s),
    )


def _decode_worker(item: Any) -> AssignedWorker:
    if isinstance(item, int):
        return AssignedWorker(item)
    started_unix_ms, vm_id, runs_until_s, *entry_version = item
    if runs_until_s is not None:
        runs_until_s = _check_time(runs_until_s)
    return AssignedWorker(
        int(started_unix_ms),
        str(vm_id),
        runs_until_s,
        int(entry_version[0]) if entry_version else 0,
    )


def _check_time(value: Any) -> float:
    if not math.isfinite(value):
        raise ValueError(f"the time {value} isn't finite")
    return float(value)
