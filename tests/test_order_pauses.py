"""Orders to a worker that ends each connection at once."""

import unittest

import anyio

from fireflywell import errors
from fireflywell.node import order_sender
from tests import node_world
from tests import scheduling_samples as samples
from tests import session_world

_LOST = errors.AnswerLostError("the connection ended")

# Most transmissions of one order within the lease of a start (1 s), with at
# least 0.1 s between them.
_MOST_TRANSMISSIONS = 11


class PauseTest(unittest.TestCase):
    """Repeats of orders whose call fails at once without an answer."""

    def test_start_is_repeated_after_a_pause(self) -> None:
        """Fails if a worker that drops connections is called in a busy loop.

        The start was sent hundreds of times a second until its lease ended.
        """

        async def run() -> None:
            world = session_world.SessionWorld()
            async with world.run():
                world.begin_start()
                await session_world.wait_until(
                    lambda: len(world.client.starts) > 2
                )
                await anyio.sleep(session_world.LEASE.total_seconds())
            self.assertLessEqual(len(world.client.starts), _MOST_TRANSMISSIONS)

        anyio.run(run)

    def test_stop_is_repeated_after_a_pause(self) -> None:
        """Fails if a worker that drops connections is called in a busy loop."""

        async def run() -> None:
            world = session_world.SessionWorld()
            world.client.stop_outcomes.extend([_LOST] * 2000)
            world.client.running = (samples.report_running(session_world.UNIT),)
            job = samples.make_job(session_world.JOB_ID, node_world.make_step())
            world.state.add_job(job)
            async with world.run():
                await session_world.wait_until(lambda: bool(world.worker.runs))
                (run,) = world.worker.runs.values()
                world.state.stop_run(run)
                world.session.enqueue(
                    order_sender.StopCommand(session_world.UNIT, run.number)
                )
                await anyio.sleep(session_world.LEASE.total_seconds())
            self.assertGreater(len(world.client.stops), 1)
            self.assertLessEqual(len(world.client.stops), _MOST_TRANSMISSIONS)

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
