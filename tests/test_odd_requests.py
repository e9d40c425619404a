"""Odd bodies of callers' requests.

Each is refused with status 400, and the answer says why. An accepted job can be
stored and planned: the owner of its service, and each later owner, reads it.
"""

import json
import math
import unittest

import anyio
import hypothesis
from hypothesis import strategies

from fireflywell import asgi
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import directory as directory_lib
from fireflywell.node import job_frontend
from fireflywell.platform import configuration
from fireflywell.platform import job_api
from fireflywell.platform import job_requests
from fireflywell.scheduling import job_rows
from fireflywell.scheduling import jobs
from fireflywell.scheduling import model
from fireflywell.scheduling import ranking
from fireflywell.telemetry import metrics as metrics_lib
from tests import fuzz_settings
from tests import node_world

_NESTED = "[" * 100_000 + "]" * 100_000
_NUMBERS = ("1e999", "NaN", "9" * 400, "9" * 5000, '"5"', "true", "[]", "-1")
_NUMBER_FIELDS = (
    "count",
    "cpu",
    "requested_memory_mb",
    "gpu",
    "anti_affinity",
    "may_miss",
)


def list_odd_bodies() -> list[bytes]:
    """Returns bodies that aren't valid jobs."""
    steps = [
        f'{{"count":1,"{field}":{number}}}'
        for field in _NUMBER_FIELDS
        for number in _NUMBERS
    ]
    for field in ("estimated_ms", "target_ms"):
        steps += [f'{{"count":1,"{field}":{n}}}' for n in _NUMBERS[:-1]]
    for field in ("requirements", "affinity", "image"):
        steps += [
            f'{{"count":1,"{field}":{value}}}'
            for value in ('"\\ud800"', "3", "[]", _NESTED)
        ]
    steps += [
        '{"count":1000000000}',
        '{"count":50000},{"count":50000}',
        '{"count":1,"after":3}',
        '{"count":1},{"count":1,"after":[0.5e999]}',
        '{"count":1},{"count":1,"after":{"0":1}}',
        _NESTED,
    ]
    bodies = [f'{{"steps":[{step}]}}' for step in steps]
    bodies += [
        _NESTED,
        f'{{"steps":[{{"count":1}}],"more":{_NESTED}}}',
        '{"steps":[{"count":1}],"specification":"\\ud800"}',
        '{"steps":[{"count":1}],"repetitions":1000000000}',
        '{"steps":[{"count":50}],"repetitions":5000}',
        '{"steps":[{"count":1}],"repetitions":1e999}',
    ]
    for field in ("first_run_ms", "interval_ms"):
        bodies += [
            f'{{"steps":[{{"count":1}}],"repetitions":2,"{field}":{number}}}'
            for number in _NUMBERS[:-1]
        ]
    return [body.encode() for body in bodies]


class OddBodyTest(unittest.TestCase):
    """Submissions whose bodies are odd."""

    def test_odd_bodies_are_malformed_requests(self) -> None:
        """Fails if a body is accepted or raises an error that answers 500.

        An accepted job of a billion units would use up the memory of each
        owner of its service.
        """
        for body in list_odd_bodies():
            with (
                self.subTest(body=f"{body[:90]!r} ({len(body)} bytes)"),
                self.assertRaises(errors.MalformedRequestError),
            ):
                job_requests.decode_job(body)

    def test_valid_bodies_are_accepted(self) -> None:
        """Fails if a check refuses what callers submit."""
        body = (
            b'{"specification":"(t\\u00e4xt)","steps":[{"count":4,"cpu":500,'
            b'"requested_memory_mb":256,"estimated_ms":900.5,"affinity":"r1-3"'
            b'},{"count":20,"cpu":2000.0,"gpu":null,"after":[0],"gang":true,'
            b'"anti_affinity":2,"checkpointing":true,"unknown":{"a":[]}}],'
            b'"repetitions":3,"first_run_ms":1790000000123,"interval_ms":500}'
        )
        request = job_requests.decode_job(body)
        first, second = request.steps
        self.assertEqual(first.demand, model.ResourceAmounts(500, 256))
        self.assertEqual(first.estimated_s, 0.9005)
        self.assertEqual(second.demand, model.ResourceAmounts(2000, 0))
        self.assertEqual(second.after, (0,))
        self.assertEqual(
            request.recurrence, model.Recurrence(1790000000123, 500, 3)
        )

    @hypothesis.settings(fuzz_settings.make_settings(400, 1))
    @hypothesis.given(strategies.data())
    def test_any_job_is_malformed_or_can_be_planned(
        self, data: strategies.DataObject
    ) -> None:
        """Fails if an accepted job can't be stored, read again or ranked."""
        value = (
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats()
            | strategies.sampled_from((10**400, 10**9, -1, "\ud800", [], {}))
            | strategies.text()
            | strategies.lists(strategies.integers(-1, 3))
        )
        fields = strategies.sampled_from(
            (
                *_NUMBER_FIELDS,
                "estimated_ms",
                "target_ms",
                "after",
                "requirements",
                "image",
                "gang",
            )
        )
        step = strategies.dictionaries(fields, value, max_size=2)
        steps = data.draw(strategies.lists(step, min_size=1, max_size=3))
        document = {
            "steps": [{"count": 1, **item} for item in steps],
            **data.draw(
                strategies.dictionaries(
                    strategies.sampled_from(
                        ("specification", "repetitions", "interval_ms")
                    ),
                    value,
                    max_size=1,
                )
            ),
        }
        try:
            request = job_requests.decode_job(json.dumps(document).encode())
        except errors.MalformedRequestError:
            return
        units = sum(item.count for item in request.steps) * request.occurrences
        self.assertLessEqual(units, 65_536)
        submission = model.Submission(
            node_world.JOB_ID, node_world.POLICY, request, 5.0
        )
        stored = job_rows.encode_submission(submission)
        self.assertEqual(job_rows.decode_job(stored), submission)
        job = jobs.Job(submission, 5.0)
        self.assertTrue(math.isfinite(ranking.compute_work(job)))
        job.take_due(1_790_000_000_123, 5.0, 32)
        for step in job.steps:
            job.is_step_ready(step)
            estimate = ranking.estimate_occurrence([step])
            self.assertTrue(math.isfinite(estimate.remaining_work))


class OddRequestApiTest(unittest.TestCase):
    """Odd submissions through the callers' interface."""

    def test_odd_bodies_get_status_400(self) -> None:
        """Fails if the status isn't 400, or if the answer isn't JSON."""
        answers: list[asgi.Message] = []

        async def run() -> None:
            world = node_world.NodeWorld()
            holder = directory_lib.ConfigurationHolder(
                configuration.decode_configuration,
                world.clock,
                metrics_lib.NullMetrics(),
            )
            row_key = row_store.RowKey("op", "", "config")
            data = node_world.encode_configuration()
            holder.apply_rows((row_store.Row(row_key, data, 1),))
            frontend = job_frontend.JobFrontend(
                world.store, world.clock, metrics_lib.NullMetrics()
            )
            api = job_api.JobApi(frontend, holder, world.clock)
            scope = {
                "method": "POST",
                "path": f"/quotes/{node_world.JOB_ID}",
                "headers": [(b"host", b"quotes.example")],
            }

            async def send(message: asgi.Message) -> None:
                answers.append(message)

            for body in list_odd_bodies():

                async def receive(body: bytes = body) -> asgi.Message:
                    return {"type": "http.request", "body": body}

                await api(scope, receive, send)

        anyio.run(run)
        starts = [a for a in answers if a["type"] == "http.response.start"]
        self.assertEqual({a["status"] for a in starts}, {400})
        self.assertEqual(len(starts), len(list_odd_bodies()))
        for answer in answers:
            if answer["type"] == "http.response.body" and answer["body"]:
                self.assertEqual(set(json.loads(answer["body"])), {"error"})
                self.assertLess(len(answer["body"]), 500)


if __name__ == "__main__":
    unittest.main()
