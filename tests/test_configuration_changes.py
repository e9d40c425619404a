"""Tests how soon changes of the configuration are in force."""

import datetime
import json
import unittest

import anyio
import anyio.lowlevel

from fireflywell import clock as clock_lib
from fireflywell.coordination import row_store
from fireflywell.node import directory as directory_lib
from fireflywell.node import table_follower
from fireflywell.platform import configuration
from fireflywell.standins import row_store as store_standin
from fireflywell.telemetry import metrics as metrics_lib
from tests import limited_link
from tests import node_world

_CONFIGURATION_ROW_KEY = row_store.RowKey("op", "", "config")

# Time limit of a call, to which the follower's wait for changes is added.
_CALL_LIMIT = datetime.timedelta(seconds=1.5)

_STEP = datetime.timedelta(milliseconds=20)

# Turns of the event loop in which a call to the stand-in completes.
_CHECKPOINTS = 12

# Each change must be in force on each node within this time.
_APPLY_LIMIT_S = 3.0


class ChangeSeries:
    """A node that follows the configuration over a slow link.

    Attributes:
        worst_lag_s: Longest time from the write of a change until the node
            applied it.
        store: The store, which is read over the link.
        link: The slow link to the store.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._clock = clock_lib.ManualClock()
        self.store = store_standin.MemoryRowStore(self._clock)
        self.link = limited_link.LimitedLinkStore(
            self.store, self._clock, bytes_per_s, _CALL_LIMIT
        )
        self._holder = directory_lib.ConfigurationHolder(
            configuration.decode_configuration,
            self._clock,
            metrics_lib.NullMetrics(),
        )
        self._written_at_s: dict[int, float] = {}
        self.worst_lag_s = 0.0

    async def run(
        self, sizes_bytes: tuple[int, ...], interval_s: float
    ) -> None:
        """Stores versions of these sizes while the node follows them.

        The first one is stored before the node starts; the others follow at an
        interval. After the last one the node has 5 s to catch up.
        """
        follower = table_follower.TableFollower(
            self.link,
            self._clock,
            "op",
            lambda: ("",),
            self._holder.apply_rows,
            self._holder.apply_rows,
        )
        self._write(1, sizes_bytes[0])
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            await self._advance(5)
            self.worst_lag_s = 0.0
            for version, size_bytes in enumerate(sizes_bytes[1:], 2):
                self._write(version, size_bytes)
                await self._advance(interval_s)
            await self._advance(5)
            group.cancel_scope.cancel()

    def _write(self, version: int, size_bytes: int) -> None:
        document = json.loads(node_world.encode_configuration(version))
        document["padding"] = "x" * size_bytes
        self.store.put(_CONFIGURATION_ROW_KEY, json.dumps(document).encode())
        self._written_at_s[version] = self._clock.monotonic().total_seconds()

    async def _advance(self, seconds: float) -> None:
        steps = round(seconds / _STEP.total_seconds())
        for _ in range(steps):
            self._clock.advance(_STEP)
            for _ in range(_CHECKPOINTS):
                await anyio.lowlevel.checkpoint()
            self._measure_lag()

    def _measure_lag(self) -> None:
        current = self._holder.current
        held = current.version if current else 0
        missing = [at for v, at in self._written_at_s.items() if v > held]
        if missing:
            now_s = self._clock.monotonic().total_seconds()
            self.worst_lag_s = max(self.worst_lag_s, now_s - min(missing))


class ConfigurationChangesTest(unittest.TestCase):
    """Lag of a node behind the configuration."""

    def test_changes_faster_than_their_transfer_are_in_force_in_time(
        self,
    ) -> None:
        """Fails if a node that is behind reads each intermediate version.

        Each version takes 0.7 s on the link and the next follows after 0.3 s.
        """
        series = ChangeSeries(bytes_per_s=500_000)
        anyio.run(series.run, (350_000,) * 41, 0.3)
        self.assertLess(series.worst_lag_s, _APPLY_LIMIT_S)

    def test_growth_is_in_force_in_time(self) -> None:
        """Fails if a change larger than the former table is applied late.

        It exceeds the limit up to which a follower reads changes, so the
        follower has to load the table again.
        """
        series = ChangeSeries(bytes_per_s=500_000)
        anyio.run(series.run, (20_000, 20_000, 600_000, 600_000), 1.5)
        self.assertLess(series.worst_lag_s, _APPLY_LIMIT_S)


if __name__ == "__main__":
    unittest.main()
