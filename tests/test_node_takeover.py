"""Service owners: jobs from acceptance to their end, across takeovers."""

import contextlib
import dataclasses
import datetime
import json
import unittest

import anyio

from fireflywell.coordination import row_store
from fireflywell.node import fleet_cache
from fireflywell.node import job_frontend
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.node import worker_leases
from fireflywell.scheduling import maintenance
from fireflywell.scheduling import model
from tests import node_world


class NodeTestCase(unittest.TestCase):
    """Base of tests that run nodes and workers in one event loop."""

    @contextlib.asynccontextmanager
    async def run_node(self, world: node_world.NodeWorld, name: str):
        """Runs a node; leaving the block kills it without a handover."""
        async with anyio.create_task_group() as group:
            scope = anyio.CancelScope()

            async def run() -> None:
                with scope:
                    await world.make_node(name).run(anyio.Event())

            group.start_soon(run)
            try:
                yield scope
            finally:
                scope.cancel()


class SingleOwnerTest(NodeTestCase):
    """Jobs of a service that keeps one owner."""

    def test_steps_run_in_order_and_completion_is_shown(self) -> None:
        """Fails if a step starts before the steps that it depends on."""

        async def run() -> None:
            world = node_world.NodeWorld("w1", "w2")
            async with self.run_node(world, "node-a"):
                first = node_world.make_step(3)
                second = node_world.make_step(2, after=(0,))
                await world.submit(first, second)
                await world.wait_for_state("completed")
            starts = world.list_starts()
            starts.sort(key=lambda s: s.at_s)
            steps = [start.unit.split(".")[2] for start in starts]
            self.assertEqual(steps, ["0", "0", "0", "1", "1"])
            self.assertEqual({start.run for start in starts}, {1})

        anyio.run(run)

    def test_ends_are_acknowledged_only_once_they_are_stored(self) -> None:
        """Fails if a worker may discard an end that isn't in the store yet.

        A successor could not learn of that end and would run the unit again.
        """

        async def run() -> None:
            world = node_world.NodeWorld("w1")
            async with self.run_node(world, "node-a"):
                await world.submit(node_world.make_step(1))
                worker = world.workers["w1"]
                while not worker.starts:
                    await anyio.sleep(0.01)
                world.store.is_down = True
                await anyio.sleep(0.5)
                self.assertEqual(worker.noted, 0)
                world.store.is_down = False
                await world.wait_for_state("completed")
                with anyio.fail_after(3):
                    while worker.noted == 0:
                        await anyio.sleep(0.02)

        anyio.run(run)

    def test_start_without_answer_runs_once(self) -> None:
        """Fails if a unit runs twice after the answer to its start was lost."""

        async def run() -> None:
            world = node_world.NodeWorld("w1", "w2")
            for worker in world.workers.values():
                worker.lose_answers = 1
            async with self.run_node(world, "node-a"):
                await world.submit(node_world.make_step(4))
                await world.wait_for_state("completed")
            units = [start.unit for start in world.list_starts()]
            self.assertEqual(len(units), len(set(units)))

        anyio.run(run)

    def test_late_start_after_a_refused_repeat_runs_once(self) -> None:
        """Fails if a unit runs twice after the repeat of a start was refused.

        The worker left the first transmission unanswered, refused the second
        one as unhealthy and then carried out the first.
        """

        async def run() -> None:
            world = node_world.NodeWorld("w1", "w2", run_s=0.2)
            for worker in world.workers.values():
                worker.delayed_starts = 1
                worker.delay_s = 0.5
                worker.refused_starts = 1
            async with self.run_node(world, "node-a"):
                await world.submit(node_world.make_step(1))
                await world.wait_for_state("completed")
                await anyio.sleep(0.6)
            self.assertEqual(len(world.list_starts()), 1)

        anyio.run(run)

    def test_first_call_after_a_restart_acknowledges_nothing(self) -> None:
        """Fails if ends of a restarted worker are acknowledged unseen.

        The worker was idle and back before the next call, so no call failed.
        That call carried the number of the former incarnation's last end, and
        the new one forgot its own ends (rule TWICE).
        """

        async def run() -> None:
            world = node_world.NodeWorld("w1", run_s=0.05)
            async with anyio.create_task_group() as group:
                node = world.make_node("node-a")
                group.start_soon(node.run, anyio.Event())
                await world.submit(node_world.make_step(8))
                await world.wait_for_state("completed")
                worker = world.workers["w1"]
                with anyio.fail_after(3):
                    while worker.noted < 8:
                        await anyio.sleep(0.02)
                await anyio.sleep(0.3)
                worker.restart()
                worker.run_s = 0.0
                before = len(worker.starts)
                others = [f"{number:016x}" for number in range(4)]
                for job_id in others:
                    await world.submit(node_world.make_step(), job_id=job_id)
                for job_id in others:
                    await world.wait_for_state("completed", job_id)
                group.cancel_scope.cancel()
            self.assertEqual(len(worker.starts) - before, len(others))

        anyio.run(run)

    def test_cancelled_job_stops(self) -> None:
        """Fails if units of a cancelled job keep running."""

        async def run() -> None:
            world = node_world.NodeWorld("w1", run_s=None)
            async with self.run_node(world, "node-a"):
                await world.submit(node_world.make_step(2))
                worker = world.workers["w1"]
                with anyio.fail_after(5):
                    while len(worker.active_units) < 2:
                        await anyio.sleep(0.02)
                limit = datetime.timedelta(seconds=1)
                outcome = await world.frontend.cancel(
                    node_world.JOB_ID, node_world.POLICY, limit
                )
                self.assertIsInstance(outcome, job_frontend.Cancelled)
                with anyio.fail_after(3):
                    while worker.active_units:
                        await anyio.sleep(0.02)
                await world.wait_for_state("cancelled")

        anyio.run(run)

    def test_failing_units_fail_the_job_after_the_limit(self) -> None:
        """Fails if a job whose units always fail is retried without a limit."""

        async def run() -> None:
            world = node_world.NodeWorld("w1", "w2", "w3", "w4", "w5")
            for worker in world.workers.values():
                worker.fails = True
            async with self.run_node(world, "node-a"):
                await world.submit(node_world.make_step(1))
                await world.wait_for_state("failed")
            limit = node_world.POLICY.max_attempts
            self.assertEqual(len(world.list_starts()), limit)

        anyio.run(run)


class AdviceTest(NodeTestCase):
    """Queues whose policy needs the advice service's approval of workers."""

    def test_units_start_where_the_service_approves(self) -> None:
        """Fails if a unit starts on a worker without a ticket, or never."""

        async def run() -> None:
            world = node_world.NodeWorld("w1", "w2", "w3")
            world.advice.approved = {"w2"}
            advice = model.AdvicePolicy(0.01, 0.0, 1.0)
            policy = dataclasses.replace(node_world.POLICY, advice=advice)
            async with self.run_node(world, "node-a"):
                await world.frontend.submit(
                    node_world.JOB_ID,
                    policy,
                    node_world.make_request(node_world.make_step(2)),
                    datetime.timedelta(seconds=1),
                )
                await world.wait_for_state("completed")
            self.assertEqual(len(world.workers["w2"].starts), 2)
            self.assertEqual(len(world.list_starts()), 2)

        anyio.run(run)

    def test_wait_at_the_service_is_no_part_of_the_validity(self) -> None:
        """Fails if nothing starts while calls wait longer than tickets last.

        The validity was counted from before the call, so the tickets of a node
        that owns several services had expired when they arrived.
        """

        async def run() -> None:
            world = node_world.NodeWorld("w1")
            world.advice.approved = {"w1"}
            world.advice.wait_s = 0.5
            advice = model.AdvicePolicy(0.05, 0.0, 0.4)
            policy = dataclasses.replace(node_world.POLICY, advice=advice)
            async with self.run_node(world, "node-a"):
                await world.frontend.submit(
                    node_world.JOB_ID,
                    policy,
                    node_world.make_request(node_world.make_step(1)),
                    datetime.timedelta(seconds=1),
                )
                await world.wait_for_state("completed")

        anyio.run(run)


class TakeoverTest(NodeTestCase):
    """A new owner after the node of the former owner was killed."""

    def test_successor_adopts_what_runs(self) -> None:
        """Fails if a takeover stops or repeats units that are running."""

        async def run() -> None:
            world = node_world.NodeWorld("w1", "w2", run_s=None)
            async with self.run_node(world, "node-a"):
                step = node_world.make_step(2, is_long_running=True)
                await world.submit(step)
                with anyio.fail_after(5):
                    while len(world.list_starts()) < 2:
                        await anyio.sleep(0.02)
            async with self.run_node(world, "node-b"):
                with anyio.fail_after(6):
                    while not _is_owned_by(world, "node-b"):
                        await anyio.sleep(0.05)
                await anyio.sleep(1.0)
            self.assertEqual(len(world.list_starts()), 2)
            running = [w.active_units for w in world.workers.values()]
            self.assertEqual(sum(map(len, running)), 2)

        anyio.run(run)

    def test_unit_on_silent_worker_waits_for_its_lease(self) -> None:
        """Fails if a successor starts a unit that may still run elsewhere."""

        async def run() -> None:
            world = node_world.NodeWorld("w1", run_s=None)
            async with self.run_node(world, "node-a"):
                await world.submit(node_world.make_step(1))
                with anyio.fail_after(5):
                    while not world.list_starts():
                        await anyio.sleep(0.02)
            world.workers["w1"].is_silent = True
            world.add_worker("w2", run_s=0.05)
            lost_at = world.clock.monotonic().total_seconds()
            async with self.run_node(world, "node-b"):
                await world.wait_for_state("completed", seconds=12)
            second = world.workers["w2"].starts[0]
            self.assertGreater(second.run, world.workers["w1"].starts[0].run)
            renewal_grace = worker_leases.RENEWAL_GRACE.total_seconds()
            lease = node_world.BOUNDS.longest_run_lease.total_seconds()
            self.assertGreater(second.at_s - lost_at, renewal_grace + lease)

        anyio.run(run)

    def test_successor_does_not_wait_for_ended_incarnations(self) -> None:
        """Fails if a takeover waits for workers whose VMs were moved before.

        After all nodes of trouble-2 of Atlas had lost power, jobs waited 9 s
        for workers that had ended long before.
        """

        async def run() -> None:
            world = node_world.NodeWorld("w1", "w2")
            async with self.run_node(world, "node-a"):
                await world.submit(node_world.make_step(2))
                await world.wait_for_state("completed")
                world.workers["w2"].crash()
                row_key = row_store.RowKey(tables.INSTANCES, "", "w2")
                world.store.remove(row_key)
                assigned_workers = tables.locate_assigned_workers(
                    node_world.SERVICE
                )
                with anyio.fail_after(6):
                    while b"w2" in _read(world, assigned_workers):
                        await anyio.sleep(0.05)
            other = "00000000000000b2"
            await world.submit(node_world.make_step(1), job_id=other)
            started_at = world.clock.monotonic()
            async with self.run_node(world, "node-b"):
                await world.wait_for_state("completed", other)
            elapsed = world.clock.monotonic() - started_at
            self.assertLess(elapsed, datetime.timedelta(seconds=3))

        anyio.run(run)

    def test_unreachable_incarnations_are_waited_for_once(self) -> None:
        """Fails if every later owner waits for the same unreachable workers."""

        async def run() -> None:
            world = node_world.NodeWorld("w1", "w2")
            async with self.run_node(world, "node-a"):
                await world.submit(node_world.make_step(2))
                await world.wait_for_state("completed")
            world.workers["w2"].crash()
            world.store.remove(row_store.RowKey(tables.INSTANCES, "", "w2"))
            assigned_workers = tables.locate_assigned_workers(
                node_world.SERVICE
            )
            async with self.run_node(world, "node-b"):
                with anyio.fail_after(12):
                    while b"w2" in _read(world, assigned_workers):
                        await anyio.sleep(0.05)

        anyio.run(run)

    def test_job_accepted_while_nobody_owns_its_service_runs(self) -> None:
        """Fails if a job accepted while no node owns its service is lost."""

        async def run() -> None:
            world = node_world.NodeWorld("w1")
            await world.submit(node_world.make_step(2))
            async with self.run_node(world, "node-a"):
                await world.wait_for_state("completed")

        anyio.run(run)

    def test_lost_history_is_read_again(self) -> None:
        """Fails if a job is missed after the store drops its change history."""

        async def run() -> None:
            world = node_world.NodeWorld("w1")
            async with self.run_node(world, "node-a"):
                await world.submit(node_world.make_step(1))
                await world.wait_for_state("completed")
                other = "00000000000000b2"
                await world.submit(node_world.make_step(1), job_id=other)
                world.store.drop_history()
                await world.wait_for_state("completed", other)

        anyio.run(run)

    def test_worker_that_left_gives_its_unit_back(self) -> None:
        """Fails if a long-running unit on a lost worker never restarts.

        Each attempt to renew used to postpone the end of the lease, so the
        worker's runs never expired.
        """

        async def run() -> None:
            world = node_world.NodeWorld("w1", run_s=None)
            async with self.run_node(world, "node-a"):
                await world.submit(
                    node_world.make_step(1, is_long_running=True)
                )
                with anyio.fail_after(5):
                    while not world.list_starts():
                        await anyio.sleep(0.02)
                world.workers["w1"].crash()
                row_key = row_store.RowKey(tables.INSTANCES, "", "w1")
                world.store.remove(row_key)
                second = world.add_worker("w2", run_s=None)
                with anyio.fail_after(6):
                    while not second.starts:
                        await anyio.sleep(0.05)

        anyio.run(run)

    def test_drained_vm_stays_empty_under_a_new_owner(self) -> None:
        """Fails if units start on a VM whose maintenance may begin any time.

        AVAIL in store-troubles of the grown District, seed 318876265424: the
        former owner had drained the VM and marked its request as ready.
        """

        async def run() -> None:
            world = node_world.NodeWorld("w1", "w2", run_s=None)
            request = maintenance.DrainRequest(
                "m-w1", 1, maintenance.DrainPhase.READY, 1e9, 1
            )
            row_key = fleet_cache.locate_drain_request(
                ownership.FLEET_SERVICE, "m-w1"
            )
            world.store.put(row_key, fleet_cache.encode_drain_request(request))
            _request_wave(world, "m-w1")
            async with self.run_node(world, "node-a"):
                await world.submit(node_world.make_step(6))
                with anyio.fail_after(5):
                    while not world.workers["w2"].starts:
                        await anyio.sleep(0.02)
                await anyio.sleep(0.3)
                self.assertEqual(world.workers["w1"].starts, [])

        anyio.run(run)

    def test_vm_that_is_in_use_is_not_marked_as_drained(self) -> None:
        """Fails if a VM with running units stays marked as drained.

        A former owner's late write marks the drain request as ready after this
        owner has started units on the VM.
        """

        async def run() -> None:
            world = node_world.NodeWorld("w1", run_s=None)
            row_key = fleet_cache.locate_drain_request(
                ownership.FLEET_SERVICE, "m-w1"
            )
            request = maintenance.DrainRequest(
                "m-w1", 1, maintenance.DrainPhase.READY, 1e9, 1
            )
            async with self.run_node(world, "node-a"):
                await world.submit(node_world.make_step(2))
                with anyio.fail_after(5):
                    while not world.workers["w1"].starts:
                        await anyio.sleep(0.02)
                world.store.put(
                    row_key, fleet_cache.encode_drain_request(request)
                )
                _request_wave(world, "m-w1")
                with anyio.fail_after(3):
                    while b"due" not in _read(world, row_key):
                        await anyio.sleep(0.02)

        anyio.run(run)

    def test_ends_of_a_restarted_worker_are_not_lost(self) -> None:
        """Fails if a unit runs twice after its worker was restarted.

        Soak seeds 15 and 20: the first call to the new incarnation carried the
        number of the former incarnation's last end, so the new incarnation
        forgot its own ends.
        """

        async def run() -> None:
            world = node_world.NodeWorld("w1", run_s=0.05)
            async with self.run_node(world, "node-a"):
                await world.submit(node_world.make_step(8))
                await world.wait_for_state("completed")
                worker = world.workers["w1"]
                with anyio.fail_after(3):
                    while worker.noted < 8:
                        await anyio.sleep(0.02)
                worker.is_silent = True
                await anyio.sleep(2.5)
                worker.restart()
                before = len(worker.starts)
                # Ends that come one after the other are in several reports.
                step = node_world.make_step(
                    demand=model.ResourceAmounts(100, 10)
                )
                others = [f"{number:016x}" for number in range(12)]
                for job_id in others:
                    await world.submit(step, job_id=job_id)
                    await anyio.sleep(0.015)
                for job_id in others:
                    await world.wait_for_state("completed", job_id)
            self.assertEqual(len(worker.starts) - before, len(others))

        anyio.run(run)


def _request_wave(world: node_world.NodeWorld, vm_id: str) -> None:
    """Requests a wave that isn't completed, because its other VM is down."""
    world.fleet.vms["m-down"] = maintenance.Vm(
        "m-down",
        node_world.SERVICE,
        maintenance.VmState.UPKEEP,
        "a",
        (),
        model.ResourceAmounts(4000, 32000),
        "",
    )
    document = {
        "wave": 1,
        "machines": [vm_id, "m-down"],
        "duration_s": 600,
        "max_count": 1,
    }
    world.store.put(
        row_store.RowKey(tables.OPERATOR, "", "wave/1"),
        json.dumps(document).encode(),
    )


def _read(world: node_world.NodeWorld, row_key: row_store.RowKey) -> bytes:
    row = world.store.get(row_key)
    return row.value if row else b""


def _is_owned_by(world: node_world.NodeWorld, name: str) -> bool:
    row = world.store.get(tables.locate_owner(node_world.SERVICE))
    return row is not None and name.encode() in row.value


if __name__ == "__main__":
    unittest.main()
