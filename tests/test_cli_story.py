"""The story of a job from the logs of several nodes."""

import json
import pathlib
import tempfile
import unittest

from click import testing

from fireflywell.cli import main

_ID = "feae034151654acd"


def _line(at_s: float, event: str, **fields: object) -> str:
    document = {"timestamp": at_s, "message_type": event, "task_uuid": "u"}
    return json.dumps({**document, **fields})


_NODE_A = (
    _line(5.0, "job.accepted", job=_ID, service="reviews"),
    _line(5.1, "job.accepted", job="00000000000000ff", service="reviews"),
    "Traceback (not a line of the log)",
)
_NODE_B = (
    _line(
        5.2,
        "placement.decided",
        service="reviews",
        runs=[f"{_ID}.0.0.0#1@w2", "00000000000000ff.0.0.0#1@w2"],
    ),
    _line(5.6, "worker.lost", worker="w2", runs=2),
    _line(5.7, "ownership.claimed", service="quotes", token=2),
    _line(5.8, "ownership.claimed", service="reviews", token=2),
    _line(6.9, "job.final", job=_ID, state="completed"),
    _line(90.0, "store.lost", table="op"),
)


class StoryTest(unittest.TestCase):
    """The command on two saved logs."""

    def tell(self, *arguments: str) -> testing.Result:
        """Runs the command in a folder with both logs."""
        with tempfile.TemporaryDirectory() as name:
            paths = []
            for node, lines in (("node-b", _NODE_B), ("node-a", _NODE_A)):
                path = pathlib.Path(name, f"{node}.log")
                path.write_text("\n".join(lines))
                paths.append(str(path))
            return testing.CliRunner().invoke(main.main, [*arguments, *paths])

    def test_lines_of_all_nodes_are_in_order(self) -> None:
        """Fails if an engineer must merge logs by hand."""
        result = self.tell("story", _ID)
        self.assertEqual(result.exit_code, 0, result.output)
        events = [line.split()[3] for line in result.output.splitlines()]
        self.assertEqual(
            events, ["job.accepted", "placement.decided", "job.final"]
        )
        self.assertNotIn("00000000000000ff", result.output)
        self.assertIn("node-a", result.output.splitlines()[0])

    def test_surroundings_concern_the_service_and_the_time(self) -> None:
        """Fails if the cause of a delay is missing or lost in other lines."""
        output = self.tell("story", _ID, "--around").output
        self.assertIn("worker.lost", output)
        self.assertEqual(output.count("ownership.claimed"), 1)
        self.assertNotIn("store.lost", output)

    def test_unknown_job_is_an_error(self) -> None:
        """Fails if a mistyped id looks like a job without events."""
        result = self.tell("story", "0000000000000000")
        self.assertEqual(result.exit_code, 1)
        self.assertIn("check the id", result.output)

    def test_lines_with_a_node_before_them_are_read(self) -> None:
        """Fails if a log that several nodes share can't be used."""
        with tempfile.TemporaryDirectory() as name:
            path = pathlib.Path(name, "all.log")
            path.write_text(f"  5.000 front-a-1 {_NODE_A[0]}\n")
            result = testing.CliRunner().invoke(
                main.main, ["--json", "story", _ID, str(path)]
            )
        (line,) = json.loads(result.output)["lines"]
        self.assertEqual(line["source"], "front-a-1")


if __name__ == "__main__":
    unittest.main()
