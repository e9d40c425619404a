"""Tests how a new owner reads the jobs of its service."""

import unittest

import anyio

from fireflywell.node import job_loader
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.scheduling import service_state
from tests import node_world

_EARLIER = "00000000000000a1"
_LATER = "00000000000000b2"


class _Writer:
    """Stores nothing."""

    def wake(self) -> None:
        """Does nothing."""


class FirstSnapshotTest(unittest.TestCase):
    """Jobs that are stored when a new owner reads its service."""

    def test_only_jobs_older_than_the_claim_can_have_been_started(self) -> None:
        """Fails if new jobs wait for the leases of earlier owners.

        While the store is slow, jobs are accepted between the claim and the
        first read of all jobs. No earlier owner can have started them.
        """

        async def run() -> service_state.ServiceState:
            world = node_world.NodeWorld()
            await world.submit(job_id=_EARLIER)
            version = world.store.put(
                tables.locate_owner(node_world.SERVICE), b"owner"
            )
            await world.submit(job_id=_LATER)
            state = service_state.ServiceState(2)
            loader = job_loader.JobLoader(
                ownership.Tenure(node_world.SERVICE, 2, version, False),
                state,
                _Writer(),  # type: ignore[arg-type]
                world.store,
                world.clock,
                lambda: None,
                lambda *_: None,
            )
            table = tables.name_jobs_table(node_world.SERVICE)
            loader.apply_snapshot(tuple(world.store.list_table(table)))
            return state

        state = anyio.run(run)
        recovered = {key: job.is_recovered for key, job in state.jobs.items()}
        self.assertEqual(recovered, {_EARLIER: True, _LATER: False})


if __name__ == "__main__":
    unittest.main()
