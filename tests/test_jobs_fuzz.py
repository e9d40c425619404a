"""No job is lost or run twice while the store and workers fail."""

import datetime

import anyio
from hypothesis import stateful
from hypothesis import strategies

from fireflywell.fleet import jobs
from tests import fuzz_settings
from tests import job_world

_NUMBERS = strategies.integers(0, 5)


class JobMachine(stateful.RuleBasedStateMachine):
    """Two schedulers and six workers; counts the runs begun and succeeded."""

    def __init__(self) -> None:
        super().__init__()
        self.world = job_world.JobWorld(schedulers=2)
        self.specs: list[jobs.JobSpec] = []

    @stateful.rule(
        is_idempotent=strategies.booleans(),
        is_urgent=strategies.booleans(),
        kind=strategies.sampled_from(("bid", "claim", "report")),
    )
    def submit(self, is_idempotent: bool, is_urgent: bool, kind: str) -> None:
        """An operator submits a job while the store is up."""
        self.world.table.set_down(False)
        self.world.table.lose_answers(0)
        urgency = jobs.JobUrgency.URGENT if is_urgent else jobs.JobUrgency.BATCH
        spec = job_world.make_spec(
            f"job{len(self.specs)}",
            kind,
            cores=6,
            urgency=urgency,
            is_idempotent=is_idempotent,
        )
        anyio.run(self.world.submit, spec)
        self.specs.append(spec)

    @stateful.rule(number=strategies.integers(0, 1))
    def run_round(self, number: int) -> None:
        """A scheduler runs a round if it holds the lease."""
        anyio.run(self.world.run_round, number)

    @stateful.rule(count=strategies.integers(1, 3))
    def run_rounds(self, count: int) -> None:
        """The first scheduler runs some rounds."""
        for _ in range(count):
            anyio.run(self.world.run_round, 0)

    @stateful.rule(number=_NUMBERS)
    def cancel_during_next_write(self, number: int) -> None:
        """An operator cancels a job between a scheduler's read and write."""
        if self.specs:
            name = self.specs[number % len(self.specs)].job_id
            self.world.table.hook = lambda: self.world.cancel(name)

    @stateful.rule(seconds=strategies.sampled_from((1, 8, 40, 120)))
    def wait(self, seconds: int) -> None:
        """Advances the clock; leases of roles and tasks may expire."""
        self.world.clock.advance(datetime.timedelta(seconds=seconds))
        self.world.workers.advance_leases()

    @stateful.rule(count=strategies.integers(1, 3))
    def lose_store_answers(self, count: int) -> None:
        """The store loses answers."""
        self.world.table.lose_answers(count)

    @stateful.rule(count=strategies.integers(1, 3))
    def lose_worker_answers(self, count: int) -> None:
        """Workers lose answers to starts."""
        self.world.workers.lost_answers = count

    @stateful.rule(is_down=strategies.booleans())
    def set_store_down(self, is_down: bool) -> None:
        """The store goes down or comes back."""
        self.world.table.set_down(is_down)

    @stateful.rule(number=_NUMBERS, is_gone=strategies.booleans())
    def change_worker(self, number: int, is_gone: bool) -> None:
        """A worker is lost permanently, or new ones replace all lost ones."""
        name = self.world.workers.names[number]
        if is_gone:
            self.world.workers.lose_worker(name)
        else:
            self.world.replace_lost_workers()

    @stateful.rule(number=_NUMBERS, succeeds=strategies.booleans())
    def end_task(self, number: int, succeeds: bool) -> None:
        """A running task ends."""
        names = sorted(self.world.workers.tasks)
        if names:
            name = names[number % len(names)]
            self.world.workers.end_task(name, succeeds)

    @stateful.rule(number=_NUMBERS)
    def cancel(self, number: int) -> None:
        """An operator cancels a job."""
        self.world.table.set_down(False)
        self.world.table.lose_answers(0)
        if self.specs:
            spec = self.specs[number % len(self.specs)]
            anyio.run(self.world.cancel, spec.job_id)

    @stateful.invariant()
    def check_runs(self) -> None:
        """Fails if a job runs twice at once, or again although it must not."""
        workers = self.world.workers
        for spec in self.specs:
            begun = workers.begun.get(spec.job_id, 0)
            if not spec.is_idempotent:
                assert begun <= 1, f"{spec.job_id} was begun {begun} times"
            running = sum(
                task.job_id == spec.job_id and task.state in job_world._LIVE
                for task in workers.tasks.values()
            )
            assert running <= 1, f"{spec.job_id} runs {running} times at once"
            assert workers.succeeded.get(spec.job_id, 0) <= 1

    def teardown(self) -> None:
        """Ends all faults and checks that each job ends."""
        anyio.run(self.finish)

    async def finish(self) -> None:
        """Runs rounds without faults until all jobs have ended."""
        world = self.world
        world.table.set_down(False)
        world.table.lose_answers(0)
        world.workers.lost_answers = 0
        world.table.hook = None
        world.replace_lost_workers()
        for _ in range(200):
            world.clock.advance(datetime.timedelta(seconds=2))
            await world.run_round(0)
            await world.run_round(1)
            for name in sorted(world.workers.tasks):
                world.workers.end_task(name, True)
        found = await world.read_jobs()
        assert set(found) == {spec.job_id for spec in self.specs}
        for record in found.values():
            assert record.is_ended, record
            if not record.attempt:
                assert record.spec.job_id not in world.workers.begun
            if record.state is jobs.JobState.DONE:
                assert world.workers.succeeded[record.spec.job_id] == 1


JobMachine.TestCase.settings = fuzz_settings.make_settings(100, 40)


class JobFuzzTest(JobMachine.TestCase):  # type: ignore[misc,name-defined]
    """Guards against a job that is lost or run twice."""
