"""Runs the test suite and ends with a line of the form "N passed, N failed".

Tests listed in KNOWN-RED.txt are run too. Their failures are printed and do
not fail the run; a listed test that passes is reported so that its entry can
be removed.
"""

import pathlib
import sys

import nose2
from nose2 import events
from nose2 import result as nose2_result

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_failures() -> frozenset[str]:
    """Returns the identifiers of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    prefix = "test: "
    return frozenset(
        line.removeprefix(prefix).strip()
        for line in lines
        if line.startswith(prefix)
    )


class OutcomeCollector:
    """Hook of nose2 that notes the identifier and outcome of each test."""

    __slots__ = ("failed", "passed")

    def __init__(self) -> None:
        self.failed: set[str] = set()
        self.passed: set[str] = set()

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:  # noqa: N802
        """Receives the outcome of one test."""
        if event.outcome == nose2_result.SUBTEST and event.exc_info is None:
            # The test that holds the passed subtest is reported by itself.
            return
        if event.outcome in (nose2_result.PASS, nose2_result.SKIP):
            self.passed.add(event.test.id())
        else:
            self.failed.add(event.test.id())


def main() -> int:
    """Runs all tests; returns 0 if only known failures occurred."""
    known = read_known_failures()
    arguments = ["nose2", "-s", str(ROOT / "tests"), "-t", str(ROOT)]
    collector = OutcomeCollector()
    nose2.discover(
        argv=arguments + sys.argv[1:],
        exit=False,
        extraHooks=[("testOutcome", collector)],
    )
    failed = collector.failed
    for name in sorted(failed & known):
        print(f"known failure: {name} (see KNOWN-RED.txt)")
    for name in sorted(known - failed):
        print(f"listed in KNOWN-RED.txt but passed or not run: {name}")
    unexpected = failed - known
    passed = collector.passed - failed
    print(f"{len(passed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
