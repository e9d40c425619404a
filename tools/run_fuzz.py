"""Runs the stateful tests with many examples from the seed in FUZZ_SEED."""

import os
import pathlib
import sys

import hypothesis
import nose2

ROOT = pathlib.Path(__file__).resolve().parent.parent
_WORDS = ("stateful.RuleBasedStateMachine",)


def main() -> int:
    """Runs each test module that holds a state machine."""
    seed = int(os.environ["FUZZ_SEED"])
    hypothesis.core.global_force_seed = seed
    names = [
        f"tests.{path.stem}"
        for path in sorted((ROOT / "tests").glob("test_*.py"))
        if any(word in path.read_text() for word in _WORDS)
    ]
    run = nose2.discover(
        argv=["nose2", "-s", str(ROOT / "tests"), "-t", str(ROOT), *names],
        exit=False,
    )
    return 0 if run.result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
