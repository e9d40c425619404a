"""Reads of the store that show a state from before the reader's own claim."""

import contextlib
import datetime
import unittest
import unittest.mock

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import assigned_worker_rows
from fireflywell.node import assigned_workers
from fireflywell.node import job_loader
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.platform import store as platform_store
from fireflywell.scheduling import job_rows
from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import service_state
from fireflywell.telemetry import metrics as metrics_lib
from tests import node_world
from tests import scheduling_samples as samples
from tests import test_platform_adapter

_SERVICE = node_world.SERVICE


class PageVersionTest(unittest.TestCase):
    """Versions of the pages that a read returns."""

    def read_pages(self, *versions: int, at_least: int = 0) -> row_store.Page:
        """Reads a partition that is returned in pages of these versions."""
        row = {"table": "t", "part": "p", "key": "k", "value": ""}
        client = test_platform_adapter.StubClient(
            *(
                {
                    "rows": [row],
                    "row_version": version,
                    "has_more": number < len(versions),
                }
                for number, version in enumerate(versions, 1)
            )
        )
        store = platform_store.PlatformStore(
            client,  # type: ignore[arg-type]
            clock_lib.ManualClock(),
            metrics_lib.NullMetrics(),
        )

        async def run() -> row_store.Page:
            return await store.read("t", "p", at_least=at_least)

        return anyio.run(run)

    def test_position_is_the_earliest_of_all_pages(self) -> None:
        """Fails if changes between a later, older page and the first are lost.

        A reader that follows the table from the first page's version never
        gets them.
        """
        self.assertEqual(self.read_pages(7, 5, 9).version, 5)

    def test_page_before_the_needed_version_is_refused(self) -> None:
        """Fails if a page may precede the moment that its reader names."""
        self.assertEqual(self.read_pages(6, 7, at_least=6).version, 6)
        for versions in ((5,), (7, 5)):
            with (
                self.subTest(versions=versions),
                self.assertRaisesRegex(
                    errors.StaleReadError, "table t.*'p'.*version 5.*version 6"
                ),
            ):
                self.read_pages(*versions, at_least=6)


class NewOwnerTest(unittest.TestCase):
    """A new owner whose reads show the store before its claim."""

    def test_recovery_waits_for_the_list_as_of_the_claim(self) -> None:
        """Fails if inherited units may start beside the runs of a former owner.

        The list of workers that may have runs was read as it was before the
        former owner stored it. It was empty, so the recovery was complete at
        once (issue 28, rule TWICE).
        """

        async def run() -> None:
            world = node_world.NodeWorld()
            before = world.store.version
            world.store.put(
                tables.locate_assigned_workers(_SERVICE),
                assigned_worker_rows.encode(
                    assigned_worker_rows.AssignedWorkerList(
                        {"w1": assigned_worker_rows.AssignedWorker(1, "m-w1")},
                        0.0,
                    )
                ),
            )
            state = service_state.ServiceState(2)
            workers = assigned_workers.AssignedWorkers(
                _claim(world),
                state,
                world.store,
                world.clock,
                lambda: None,
                lambda: None,
            )
            timeout = datetime.timedelta(seconds=8)
            world.store.read_version = before
            with contextlib.suppress(errors.StaleReadError):
                await workers.load(timeout)
            self.assertFalse(state.is_recovery_complete)
            world.store.read_version = None
            await workers.load(timeout)
            self.assertFalse(state.is_recovery_complete)
            self.assertEqual(workers.unreported_workers, ("w1",))

        anyio.run(run)

    def test_unit_that_is_done_is_not_started_again(self) -> None:
        """Fails if a unit that is done starts again under a new owner.

        The progress was read as it was before the former owner stored the
        unit's end (issue 28, rule TWICE).
        """

        async def run() -> None:
            world = node_world.NodeWorld()
            await world.submit(node_world.make_step(2))
            before = world.store.version
            progress = job_rows.Progress(
                jobs_lib.JobState.RUNNING,
                (job_rows.StepProgress(0, b"\x01\x00", {}, {}),),
            )
            world.store.put(
                tables.locate_progress(_SERVICE, node_world.JOB_ID),
                job_rows.encode_progress(progress),
            )
            state = service_state.ServiceState(2)
            loader = job_loader.JobLoader(
                _claim(world),
                state,
                unittest.mock.Mock(),
                world.store,
                world.clock,
                lambda: None,
                lambda *_: None,
            )
            world.store.read_version = before
            try:
                await loader.load_progress()
            except errors.StaleReadError:
                world.store.read_version = None
                await loader.load_progress()
            table = tables.name_jobs_table(_SERVICE)
            loader.apply_snapshot(tuple(world.store.list_table(table)))
            units = samples.list_units(state.jobs[node_world.JOB_ID])
            self.assertEqual([u.is_done for u in units], [True, False])

        anyio.run(run)

    def test_reported_job_is_missing_only_as_of_the_claim(self) -> None:
        """Fails if a run's job counts as missing by a read before the claim.

        Its run would be stopped, and the job started again once it is read.
        """

        async def run() -> None:
            world = node_world.NodeWorld()
            before = world.store.version
            await world.submit(node_world.make_step(2))
            state = service_state.ServiceState(2)
            loader = job_loader.JobLoader(
                _claim(world),
                state,
                unittest.mock.Mock(),
                world.store,
                world.clock,
                lambda: None,
                lambda *_: None,
            )
            job_ids = frozenset({node_world.JOB_ID})
            world.store.read_version = before
            await loader.fetch_unknown(job_ids)
            self.assertIn(node_world.JOB_ID, state.jobs)

        anyio.run(run)


def _claim(world: node_world.NodeWorld) -> ownership.Tenure:
    version = world.store.put(tables.locate_owner(_SERVICE), b"owner")
    return ownership.Tenure(_SERVICE, 2, version, is_first=False)


if __name__ == "__main__":
    unittest.main()
