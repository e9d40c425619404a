"""Renewal of nodes' rows."""

import dataclasses
import datetime
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell.node import directory as directory_lib
from fireflywell.node import heartbeat as heartbeat_lib
from tests import node_world
from tests import serial_store

# What one partition of a store that is slowed down sixty times takes.
_SLOW_S = 0.36
_LEASE = datetime.timedelta(seconds=3)


class SlowStoreTest(unittest.TestCase):
    """Many nodes and a store that is slow."""

    def test_leases_last_while_the_store_is_slow(self) -> None:
        """Fails if a slow store ends the leases of all nodes.

        In one partition for all nodes, three renewals a second are carried out
        and the others get 429.
        """

        async def run() -> tuple[int, int]:
            clock = clock_lib.SystemClock()
            store = serial_store.SerialStore(clock, _SLOW_S)
            directories = [
                directory_lib.NodeDirectory(clock, _LEASE) for _ in range(12)
            ]
            heartbeats = [
                heartbeat_lib.Heartbeat(
                    _make_settings(number),
                    f"incarnation-{number}",
                    store,
                    directory,
                    clock,
                )
                for number, directory in enumerate(directories)
            ]
            async with anyio.create_task_group() as group:
                for heartbeat in heartbeats:
                    group.start_soon(heartbeat.run)
                await anyio.sleep(4.5)
                store.drop_history()
                await anyio.sleep(1.5)
                valid = sum(heartbeat.is_valid for heartbeat in heartbeats)
                seen = min(len(d.list_live()) for d in directories)
                group.cancel_scope.cancel()
            return valid, seen

        valid, seen = anyio.run(run)
        self.assertEqual(valid, 12)
        self.assertEqual(seen, 12)


def _make_settings(number: int) -> object:
    settings = node_world.NodeWorld().make_settings(f"node-{number}")
    bounds = dataclasses.replace(settings.bounds, lease=_LEASE)
    return dataclasses.replace(settings, bounds=bounds)


if __name__ == "__main__":
    unittest.main()
