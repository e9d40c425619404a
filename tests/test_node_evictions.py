"""Evictions of long-running units by owners and former owners."""

import dataclasses
import datetime
import unittest

import anyio

from fireflywell import errors
from fireflywell.node import fleet_cache
from fireflywell.node import ownership
from fireflywell.node import settings as node_settings
from fireflywell.scheduling import maintenance
from fireflywell.scheduling import orders
from fireflywell.standins import unit_worker
from tests import node_world
from tests import partitioned_world

# Leases of runs outlast the lease of the node that is cut off.
_RUN_LEASE = datetime.timedelta(seconds=6)


class _World(partitioned_world.PartitionedWorld):
    """Nodes that grant longer leases to runs."""

    def make_settings(self, name: str) -> node_settings.NodeSettings:
        """Returns the settings of a node."""
        settings = super().make_settings(name)
        bounds = dataclasses.replace(
            settings.bounds, longest_run_lease=_RUN_LEASE
        )
        return dataclasses.replace(settings, bounds=bounds)


class _MuteWorker(unit_worker.UnitWorker):
    """A worker that answers no stop and carries none out.

    Attributes:
        stop_count: Number of stops received.
    """

    __slots__ = ("stop_count",)

    stop_count: int

    async def stop(self, order: orders.StopOrder) -> orders.OrderOutcome:
        """Counts the order and doesn't answer."""
        del order
        self.stop_count += 1
        raise errors.AnswerLostError("the stop is ignored")


class RepeatedStopTest(unittest.TestCase):
    """A stop without an answer that the owner sends again."""

    def test_stop_isn_t_repeated_while_another_unit_is_away(self) -> None:
        """Fails if a repeat interrupts a unit that may no longer leave.

        A stop that had no answer was repeated until it had one, also after
        the worker of another unit of the step was lost (rule AVAIL).
        """

        async def run() -> None:
            world = _World("w2")
            instance = node_world.make_instance("w1")
            mute = _MuteWorker(instance, world.clock, None)
            mute.stop_count = 0
            world.add_worker("w1", None)
            world.workers["w1"] = mute
            step = node_world.make_step(
                2, is_long_running=True, may_be_away=1, max_per_worker=1
            )
            async with anyio.create_task_group() as group:
                group.start_soon(world.make_node("node-a").run, anyio.Event())
                await world.submit(step)
                with anyio.fail_after(6):
                    while len(world.list_starts()) < 2:
                        await anyio.sleep(0.02)
                _request_drain(world, "m-w1")
                with anyio.fail_after(6):
                    while mute.stop_count < 2:
                        await anyio.sleep(0.02)
                world.workers["w2"].is_silent = True
                await anyio.sleep(1.6)
                before = mute.stop_count
                await anyio.sleep(0.6)
                self.assertEqual(mute.stop_count, before)
                world.workers["w2"].is_silent = False
                with anyio.fail_after(3):
                    while mute.stop_count == before:
                        await anyio.sleep(0.02)
                group.cancel_scope.cancel()

        anyio.run(run)


class FormerOwnerEvictionTest(unittest.TestCase):
    """A node that was cut off from the store while a unit waits to leave."""

    def test_unit_stays_after_the_lease_of_its_owner_has_lapsed(self) -> None:
        """Fails if a former owner interrupts units beside its successor.

        Nothing kept a node whose lease had lapsed from draining workers on
        what it last knew, while the next owner interrupts other units of the
        step (rule AVAIL).
        """

        async def run() -> None:
            world = _World("w1", "w2")
            step = node_world.make_step(
                2, is_long_running=True, may_be_away=1, max_per_worker=1
            )
            async with anyio.create_task_group() as group:
                group.start_soon(world.make_node("node-a").run, anyio.Event())
                await world.submit(step)
                with anyio.fail_after(6):
                    while len(world.list_starts()) < 2:
                        await anyio.sleep(0.02)
                # The units were started by this owner more than a second ago.
                await anyio.sleep(2.5)
                # While w2 is silent, the unit on w1 may not leave.
                world.workers["w2"].is_silent = True
                await anyio.sleep(1.6)
                _request_drain(world, "m-w1")
                await anyio.sleep(0.4)
                world.views["node-a"].is_cut = True
                await anyio.sleep(node_world.BOUNDS.lease.total_seconds() + 0.2)
                world.workers["w2"].is_silent = False
                await anyio.sleep(0.8)
                self.assertEqual(
                    [
                        end.unit
                        for end in world.workers["w1"].ends
                        if end.kind is orders.EndKind.STOPPED
                    ],
                    [],
                )
                self.assertEqual(len(world.workers["w1"].active_units), 1)
                group.cancel_scope.cancel()

        anyio.run(run)


def _request_drain(world: node_world.NodeWorld, vm_id: str) -> None:
    request = maintenance.DrainRequest(
        vm_id, 1, maintenance.DrainPhase.DUE, 0.0, 1
    )
    world.store.put(
        fleet_cache.locate_drain_request(ownership.FLEET_SERVICE, vm_id),
        fleet_cache.encode_drain_request(request),
    )


if __name__ == "__main__":
    unittest.main()
