"""Machines of the emulator, on each of which a worker may live repeatedly."""

from collections.abc import Iterator
import datetime
import json
import random

from fireflywell import clock as clock_lib
from fireflywell.coordination import row_store
from fireflywell.scheduling import model
from fireflywell.scheduling import workers as workers_lib
from fireflywell.standins import emulator_values as values
from fireflywell.standins import emulator_worker

_CAPACITY = model.ResourceAmounts(16_000, 32_768)


class EmulatedWorker:
    """One machine whose worker may live several times.

    Attributes:
        api: Serves the orders for it.
        clock_offset_s: How far the clock that dates its starts is ahead.
        is_at_other_address: Whether its entry names the other address.
    """

    __slots__ = (
        "_clock",
        "_lives",
        "_max_hold",
        "_settings",
        "_unit_s",
        "api",
        "clock_offset_s",
        "is_at_other_address",
    )

    def __init__(
        self,
        settings: values.WorkerSettings,
        clock: clock_lib.Clock,
        unit_s: float,
        max_hold: datetime.timedelta,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._unit_s = unit_s
        self._max_hold = max_hold
        self._lives: list[emulator_worker.WorkerIncarnation] = []
        self.clock_offset_s = 0.0
        self.is_at_other_address = False
        self.api = emulator_worker.FaultyWorkerApi(
            self.begin_life(), clock, random.Random()
        )

    @property
    def current(self) -> emulator_worker.WorkerIncarnation:
        """The life that serves orders."""
        return self._lives[-1]

    @property
    def lives(self) -> tuple[emulator_worker.WorkerIncarnation, ...]:
        """All lives, in order."""
        return tuple(self._lives)

    @property
    def place(self) -> row_store.RowKey:
        """Where the current life is listed."""
        life = self.current.instance.instance_id
        return row_store.RowKey("servers", "", life)

    def begin_life(
        self, keeps_id: bool = False
    ) -> emulator_worker.WorkerIncarnation:
        """Starts another life; the former ones end."""
        settings = self._settings
        for life in self._lives:
            life.crash()
        instance_id = f"{settings.name}-{len(self._lives) + 1}"
        if keeps_id:
            instance_id = self.current.instance.instance_id
        instance = workers_lib.WorkerInstance(
            instance_id=instance_id,
            service=settings.service,
            address=settings.listed_address,
            zone="a",
            rack=settings.rack,
            labels=("a", settings.rack),
            capacity=_CAPACITY,
            started_unix_ms=int(
                (self._clock.now().timestamp() + self.clock_offset_s) * 1000
            ),
            vm_id=settings.name,
        )
        life = emulator_worker.WorkerIncarnation(
            instance, self._clock, self._unit_s, self._max_hold
        )
        self._lives.append(life)
        if len(self._lives) > 1:
            self.api.worker = life
        return life

    def encode_entry(self, state: str = "ready") -> bytes:
        """Returns the worker's entry in the store."""
        instance = self.current.instance
        address = instance.address
        if self.is_at_other_address:
            address = self._settings.other_address
        document = {
            "service": instance.service,
            "address": address,
            "zone": instance.zone,
            "state": state,
            "labels": list(instance.labels),
            "capacity": {
                "cpu": _CAPACITY.cpu_millis,
                "requested_memory_mb": _CAPACITY.memory_mb,
            },
            "born": instance.started_unix_ms,
            "machine": instance.vm_id,
        }
        return json.dumps(document).encode()

    def list_starts(self) -> Iterator[values.StartSeen]:
        """Yields the starts that all lives carried out."""
        for name, life in self._name_lives():
            for item in life.starts:
                yield values.StartSeen(name, item.unit, item.run, item.at_s)

    def list_ends(self) -> Iterator[values.EndSeen]:
        """Yields the ends of runs of all lives."""
        for name, life in self._name_lives():
            for item in life.ends:
                yield values.EndSeen(
                    name,
                    item.unit,
                    item.run,
                    str(item.kind),
                    item.at_s,
                    life.is_noted(item),
                )

    def list_lives(self) -> Iterator[values.LifeSeen]:
        """Yields when each life began and ended."""
        for name, life in self._name_lives():
            yield values.LifeSeen(
                name,
                self._settings.name,
                self._settings.service,
                _CAPACITY.cpu_millis,
                life.begun_s,
                life.leaving_s,
                life.ended_s,
            )

    def _name_lives(
        self,
    ) -> Iterator[tuple[str, emulator_worker.WorkerIncarnation]]:
        for number, life in enumerate(self._lives):
            yield f"{life.instance.instance_id}/{number}", life
