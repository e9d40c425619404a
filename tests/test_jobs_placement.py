"""Placement of jobs: quotas, urgent work, deadlines, impossible jobs."""

import datetime
import unittest

import anyio

from fireflywell.control import task_tracker
from fireflywell.fleet import fair_share
from fireflywell.fleet import jobs
from fireflywell.fleet import placement
from fireflywell.fleet import quarantine
from fireflywell.fleet import usage
from fireflywell.fleet import worker_pool
from fireflywell.infrastructure import records
from tests import job_world

NOW = datetime.datetime(2026, 6, 1, tzinfo=datetime.UTC)


def make_workers() -> tuple[worker_pool.WorkerState, ...]:
    """Returns two workers for each pool."""
    pools = ("bids", "claims", "reporting")
    return tuple(
        worker_pool.WorkerState(
            f"w{n}", pools[n // 2], "a", "r1", job_world.CAPACITY
        )
        for n in range(6)
    )


def wait_for(spec: jobs.JobSpec) -> fair_share.QueuedJob:
    """Returns a waiting job that takes its declared size."""
    run = datetime.timedelta(seconds=spec.run_seconds)
    return fair_share.QueuedJob(jobs.JobRecord(spec), spec.declared, run)


def plan(
    specs: list[jobs.JobSpec],
    workers: tuple[worker_pool.WorkerState, ...],
    urgent_used: dict[str, records.Resources] | None = None,
) -> list[placement.PlacementDecision]:
    """Plans one round."""
    queued = tuple(wait_for(spec) for spec in specs)
    return list(
        placement.plan_round(
            placement.PlacementRound(
                job_world.make_bundle(),
                queued,
                workers,
                {},
                urgent_used or {},
                NOW,
            )
        )
    )


def list_started(decisions: list[placement.PlacementDecision]) -> list[str]:
    """Returns the started jobs in order."""
    return [
        item.job.record.spec.job_id
        for item in decisions
        if isinstance(item, placement.StartJob)
    ]


def fill(
    worker: worker_pool.WorkerState, spec: jobs.JobSpec, lent: bool = False
) -> None:
    """Puts a running job on a worker."""
    worker.add(
        worker_pool.RunningTask(
            jobs.JobRecord(spec, jobs.JobState.LEASED, 1, worker.worker_id),
            spec.declared,
            lent,
        )
    )


class PlacementTest(unittest.TestCase):
    """Single rounds."""

    def test_job_that_can_never_run_is_set_aside_with_the_reason(self) -> None:
        """Fails if a job that can't run stays queued without a reason."""
        decisions = plan(
            [
                job_world.make_spec("huge", cores=17),
                job_world.make_spec("odd", kind="poem"),
                job_world.make_spec("foreign", team="nobody"),
            ],
            make_workers(),
        )
        reasons = {
            item.job.record.spec.job_id: item.reason
            for item in decisions
            if isinstance(item, placement.SetAsideJob)
        }
        self.assertIn("17 cores", reasons["huge"])
        self.assertIn("no pool carries", reasons["odd"])
        self.assertIn("no team", reasons["foreign"])

    def test_urgent_job_preempts_batch_work_but_not_urgent_work(self) -> None:
        """Fails if urgent work waits for batch work or preempts urgent work."""
        workers = make_workers()
        urgent = job_world.make_spec(
            "u0", cores=16, urgency=jobs.JobUrgency.URGENT
        )
        fill(workers[0], urgent)
        fill(
            workers[1],
            job_world.make_spec(
                "batch",
                cores=16,
                urgency=jobs.JobUrgency.BATCH,
                can_checkpoint=True,
            ),
        )
        for worker in workers[2:]:
            fill(worker, job_world.make_spec("other", "claim", cores=16))
        new = job_world.make_spec("u1", cores=4, urgency=jobs.JobUrgency.URGENT)
        decisions = plan([new], workers)
        assert isinstance(decisions[0], placement.StartJob)
        self.assertEqual(decisions[0].worker_id, "w1")
        self.assertEqual(
            [(p.job_id, p.action.value) for p in decisions[0].preemptions],
            [("batch", "checkpoint")],
        )

    def test_urgent_work_beyond_the_quota_preempts_nothing(self) -> None:
        """Fails if a flood of urgent jobs of one team takes all workers."""
        workers = make_workers()
        for worker in workers:
            fill(
                worker,
                job_world.make_spec(
                    "batch", cores=16, urgency=jobs.JobUrgency.BATCH
                ),
            )
        flood = [
            job_world.make_spec(
                f"u{n}", cores=8, urgency=jobs.JobUrgency.URGENT
            )
            for n in range(20)
        ]
        started = list_started(
            plan(flood, workers, {"sales": records.Resources(16, 0, 0)})
        )
        self.assertEqual(len(started), 2)

    def test_non_idempotent_work_is_never_stopped(self) -> None:
        """Fails if preemption makes the outcome of a posting unknown."""
        workers = make_workers()
        for worker in workers:
            fill(
                worker,
                job_world.make_spec("posting", cores=16, is_idempotent=False),
            )
        new = job_world.make_spec("u1", cores=4, urgency=jobs.JobUrgency.URGENT)
        decisions = plan([new], workers)
        assert isinstance(decisions[0], placement.StartJob)
        self.assertEqual(
            [p.action.value for p in decisions[0].preemptions], ["throttle"]
        )

    def test_teams_share_by_dominant_resource(self) -> None:
        """Fails if a flood of one team's jobs starves another team."""
        flood = [job_world.make_spec(f"s{n}", cores=8) for n in range(50)]
        other = [
            job_world.make_spec(f"a{n}", team="audit", cores=8)
            for n in range(50)
        ]
        started = list_started(plan(flood + other, make_workers()))
        sales = sum(name.startswith("s") for name in started)
        self.assertLessEqual(abs(len(started) - 2 * sales), 1)

    def test_peak_runs_on_spare_and_lent_workers(self) -> None:
        """Fails if jobs wait while spare or lent workers are idle."""
        peak = [job_world.make_spec(f"b{n}", cores=8) for n in range(20)]
        decisions = plan(peak, make_workers())
        by_worker: dict[str, int] = {}
        for item in decisions:
            if isinstance(item, placement.StartJob):
                count = by_worker.get(item.worker_id, 0)
                by_worker[item.worker_id] = count + 1
        self.assertEqual(
            by_worker,
            {"w0": 2, "w1": 2, "w4": 2, "w5": 2, "w2": 1, "w3": 1},
        )
        bound = [
            job_world.make_spec(f"n{n}", cores=8, is_idempotent=False)
            for n in range(20)
        ]
        self.assertEqual(len(list_started(plan(bound, make_workers()))), 4)

    def test_deadline_raises_the_share_in_time(self) -> None:
        """Fails if a job starts too late to meet its deadline."""
        workers = make_workers()
        for worker in workers:
            fill(
                worker,
                job_world.make_spec(
                    "batch", cores=16, urgency=jobs.JobUrgency.BATCH
                ),
            )
        late = job_world.make_spec(
            "close", cores=16, deadline=NOW + datetime.timedelta(seconds=80)
        )
        early = job_world.make_spec(
            "later", deadline=NOW + datetime.timedelta(hours=3)
        )
        self.assertEqual(list_started(plan([early, late], workers)), ["close"])
        near = fair_share.compute_boost(wait_for(early), NOW)
        self.assertGreater(near, 2)

    def test_packing_follows_observed_use(self) -> None:
        """Fails if placement keeps using a declared size that is far off."""
        estimator = usage.UsageEstimator()
        spec = job_world.make_spec("b", cores=8)
        for _ in range(10):
            estimator.observe_use(spec, records.Resources(1, 200, 0))
        size = estimator.estimate_size(spec)
        self.assertLess(size.cores, 1.5)
        for _ in range(40):
            estimator.observe_use(spec, records.Resources(12, 9_000, 0))
        size = estimator.estimate_size(spec)
        self.assertGreater(size.cores, 12)
        self.assertGreater(size.memory_mb, 9_000)

    def test_failing_worker_is_quarantined_unless_all_fail(self) -> None:
        """Fails if a failure of all workers quarantines the whole pool."""
        tracker = quarantine.WorkerQuarantine()
        pool = tuple(f"w{n}" for n in range(6))
        now = datetime.timedelta()
        for worker_id in pool:
            for number in range(8):
                tracker.record_failure(worker_id, f"job{number}", pool, now)
        quarantined = [w for w in pool if tracker.is_quarantined(w, now)]
        self.assertEqual(len(quarantined), 2)
        single = quarantine.WorkerQuarantine()
        for number in range(8):
            single.record_failure("w0", "same-job", pool, now)
            self.assertFalse(single.is_quarantined("w0", now), number)


class SchedulerTest(unittest.TestCase):
    """Whole rounds of the scheduler."""

    def test_urgent_job_starts_in_the_round_after_its_submission(self) -> None:
        """Fails if urgent work waits for a second round."""
        anyio.run(self.check_urgent)

    async def check_urgent(self) -> None:
        """Submits a backlog and then an urgent job."""
        world = job_world.JobWorld()
        for number in range(60):
            await world.submit(job_world.make_spec(f"b{number}", cores=8))
        await world.run_round()
        await world.run_round()
        await world.submit(
            job_world.make_spec("u", urgency=jobs.JobUrgency.URGENT)
        )
        await world.run_round()
        self.assertEqual(world.workers.begun.get("u"), 1)

    def test_wave_of_cancellations_does_not_stall_urgent_work(self) -> None:
        """Fails if cancellations delay placement or leave a task running."""
        anyio.run(self.check_cancellations)

    async def check_cancellations(self) -> None:
        """Cancels a whole backlog at once."""
        world = job_world.JobWorld()
        for number in range(300):
            await world.submit(job_world.make_spec(f"b{number}", cores=8))
        await world.run_round()
        for number in range(300):
            await world.cancel(f"b{number}")
        await world.submit(
            job_world.make_spec("u", urgency=jobs.JobUrgency.URGENT)
        )
        await world.run_round()
        self.assertEqual(world.workers.begun.get("u"), 1)
        for _ in range(6):
            await world.run_round()
        found = await world.read_jobs()
        found.pop("u")
        states = {record.state for record in found.values()}
        self.assertEqual(states, {jobs.JobState.CANCELLED})
        live = [
            task.job_id
            for task in world.workers.tasks.values()
            if task.state is records.TaskState.RUNNING
        ]
        self.assertEqual(live, ["u"])

    def test_outage_keeps_running_work_and_starts_nothing_twice(self) -> None:
        """Fails if a job is lost or started twice by an outage of the store."""
        anyio.run(self.check_outage)

    async def check_outage(self) -> None:
        """Takes the store down with jobs running and jobs waiting."""
        world = job_world.JobWorld()
        for number in range(30):
            await world.submit(job_world.make_spec(f"b{number}", cores=8))
        await world.run_round()
        begun = dict(world.workers.begun)
        world.table.set_down(True)
        for _ in range(30):
            world.clock.advance(datetime.timedelta(seconds=10))
            # Any control process renews while none can hold the role.
            await world.workers.renew_tasks(world.trackers[0].live_tasks)
            self.assertFalse(await world.run_round())
        self.assertEqual(world.workers.begun, begun)
        for name in sorted(world.workers.tasks):
            world.workers.end_task(name, True)
        world.table.set_down(False)
        for _ in range(20):
            world.clock.advance(datetime.timedelta(seconds=1))
            await world.run_round()
            for name in sorted(world.workers.tasks):
                world.workers.end_task(name, True)
        found = await world.read_jobs()
        states = {record.state for record in found.values()}
        self.assertEqual(states, {jobs.JobState.DONE})
        self.assertEqual(set(world.workers.begun.values()), {1})

    def test_failed_posting_is_not_run_again(self) -> None:
        """Fails if a non-idempotent job that failed is begun again."""
        anyio.run(self.check_failed_posting)

    async def check_failed_posting(self) -> None:
        """Lets the only attempt of a posting fail."""
        world = job_world.JobWorld()
        await world.submit(job_world.make_spec("posting", is_idempotent=False))
        await world.run_round()
        world.workers.end_task(("posting", 1), succeeds=False)
        for _ in range(3):
            await world.run_round()
        self.assertEqual(world.workers.begun, {"posting": 1})
        found = (await world.read_jobs())["posting"]
        self.assertEqual(found.state, jobs.JobState.FAILED)

    def test_worker_missing_from_one_list_keeps_its_jobs(self) -> None:
        """Fails if a job is begun elsewhere while its attempt may run."""
        anyio.run(self.check_missing_worker)

    async def check_missing_worker(self) -> None:
        """Hides a worker from the list for 3 s, then for another 50 s."""
        world = job_world.JobWorld()
        await world.submit(job_world.make_spec("report", "report"))
        await world.run_round()
        worker = world.workers.tasks[("report", 1)].worker_id
        world.workers.lost_workers.add(worker)
        for _ in range(3):
            world.clock.advance(datetime.timedelta(seconds=1))
            await world.run_round()
        self.assertEqual(world.workers.begun, {"report": 1})
        for _ in range(50):
            world.clock.advance(datetime.timedelta(seconds=1))
            await world.run_round()
        self.assertEqual(world.workers.begun, {"report": 2})

    def test_start_is_not_sent_to_an_unlisted_worker(self) -> None:
        """Fails if a job is begun elsewhere while its attempt runs.

        The start was sent again until the worker counted as gone, and the last
        one without an answer began an attempt with a lease of its own.
        """
        anyio.run(self.check_unlisted_worker, True)

    def test_task_on_an_unlisted_worker_is_not_renewed(self) -> None:
        """Fails if a job is begun elsewhere while its attempt runs.

        The attempt's lease was renewed until its worker counted as gone.
        """
        anyio.run(self.check_unlisted_worker, False)

    async def check_unlisted_worker(self, rejects_starts: bool) -> None:
        """Hides the worker of a job for 90 s, though it gets calls."""
        world = job_world.JobWorld()
        world.workers.rejects_starts = rejects_starts
        await world.submit(job_world.make_spec("report", "report"))
        await world.run_round()
        worker = (await world.read_jobs())["report"].worker_id
        world.workers.unlisted.add(worker)
        for second in range(90):
            world.workers.rejects_starts = rejects_starts and second < 40
            world.clock.advance(datetime.timedelta(seconds=1))
            await world.run_round()
            world.workers.advance_leases()
            live = [
                task
                for task in world.workers.tasks.values()
                if task_tracker.is_live(task)
            ]
            self.assertLessEqual(len(live), 1, second)
        self.assertNotEqual(
            (await world.read_jobs())["report"].worker_id, worker
        )
