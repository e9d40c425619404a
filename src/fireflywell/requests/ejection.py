"""Outlier ejection: instances that only fail get no requests for a while."""

from collections.abc import Iterable
import dataclasses
import datetime

from fireflywell import clock as clock_lib

# At most one instance out of this many is ejected at the same time.
_INSTANCES_PER_EJECTION = 3


@dataclasses.dataclass(frozen=True, slots=True)
class EjectionOptions:
    """Settings of outlier ejection.

    Attributes:
        failures: Consecutive failures that eject an instance.
        first_pause: Length of the first ejection.
        maximum_pause: Longest ejection; each consecutive one is twice as long
            as the one before it.
    """

    failures: int = 5
    first_pause: datetime.timedelta = datetime.timedelta(seconds=5)
    maximum_pause: datetime.timedelta = datetime.timedelta(minutes=5)


class _InstanceRecord:
    """Recent results and ejections of one instance."""

    __slots__ = (
        "ejected_until",
        "ejections",
        "failures",
        "is_on_trial",
        "successes",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.successes = 0
        self.ejections = 0
        self.ejected_until: datetime.timedelta | None = None
        self.is_on_trial = False


_DEFAULT_OPTIONS = EjectionOptions()


class EjectionTracker:
    """Ejects failing instances of one service, never more than a third.

    An instance whose ejection has ended is on trial: its first failure ejects
    it again for twice the time, its first success ends the trial. The number of
    consecutive ejections is reset only after `failures` consecutive successes,
    so an instance that succeeds only now and then keeps its long ejections.
    """

    __slots__ = ("_clock", "_options", "_records")

    def __init__(
        self,
        clock: clock_lib.Clock,
        options: EjectionOptions = _DEFAULT_OPTIONS,
    ) -> None:
        self._clock = clock
        self._options = options
        self._records: dict[str, _InstanceRecord] = {}

    def set_instances(self, instance_ids: Iterable[str]) -> None:
        """Sets the service's instances; drops the records of all others."""
        self._records = {
            instance_id: self._records.get(instance_id) or _InstanceRecord()
            for instance_id in instance_ids
        }

    def note_result(self, instance_id: str, succeeded: bool) -> None:
        """Records the result of a request; ignores unknown instances."""
        record = self._records.get(instance_id)
        if record is None or self._is_paused(record):
            # A request that was sent before the ejection must not end the trial
            # or extend the ejection.
            return
        if succeeded:
            self._record_success(record)
        else:
            self._record_failure(record)

    def is_ejected(self, instance_id: str) -> bool:
        """Whether the instance may get no request now."""
        record = self._records.get(instance_id)
        return record is not None and self._is_paused(record)

    def is_on_trial(self, instance_id: str) -> bool:
        """Whether the instance may get only one request at a time."""
        record = self._records.get(instance_id)
        return (
            record is not None
            and record.is_on_trial
            and not self._is_paused(record)
        )

    def count_ejected(self) -> int:
        """Returns the number of instances that are ejected now."""
        return sum(self._is_paused(item) for item in self._records.values())

    def _record_success(self, record: _InstanceRecord) -> None:
        record.is_on_trial = False
        record.failures = 0
        record.successes += 1
        if record.successes >= self._options.failures:
            record.ejections = 0

    def _record_failure(self, record: _InstanceRecord) -> None:
        record.successes = 0
        record.failures += 1
        if record.failures < self._options.failures and not record.is_on_trial:
            return
        limit = len(self._records) // _INSTANCES_PER_EJECTION
        if self.count_ejected() >= limit:
            return
        pause = min(
            self._options.first_pause * 2 ** min(record.ejections, 30),
            self._options.maximum_pause,
        )
        record.ejected_until = self._clock.monotonic() + pause
        record.ejections += 1
        record.failures = 0
        record.is_on_trial = True

    def _is_paused(self, record: _InstanceRecord) -> bool:
        until = record.ejected_until
        return until is not None and self._clock.monotonic() < until
