"""Settings of the stateful tests: the same verdict in every run.

`make fuzz` runs more examples with another seed, which it prints.
"""

import os

import hypothesis


def make_settings(max_examples: int, steps: int) -> hypothesis.settings:
    """Returns settings without a clock, a database or a random seed."""
    is_long = "FUZZ_EXAMPLES" in os.environ
    phases = tuple(hypothesis.Phase)
    if "FUZZ_NO_SHRINK" in os.environ:
        # A check of faults needs the verdict only, and shrinking takes most
        # of the time of a failing run.
        phases = (hypothesis.Phase.generate,)
    return hypothesis.settings(
        derandomize=not is_long,
        database=None,
        deadline=None,
        max_examples=int(os.environ.get("FUZZ_EXAMPLES", max_examples)),
        stateful_step_count=steps,
        phases=phases,
        suppress_health_check=tuple(hypothesis.HealthCheck),
    )
