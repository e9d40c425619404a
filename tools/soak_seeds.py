"""Seeds of soaks that failed once, kept as regression cases."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class KnownSeed:
    """A seed and the fault of the code that it found."""

    seed: int
    cause: str


KNOWN_SEEDS = (
    KnownSeed(1, "SIGHUP while the modules were loading ended the process"),
    KnownSeed(
        15, "a worker that came back under its id forgot ends nobody had noted"
    ),
    KnownSeed(
        20, "a worker that came back under its id forgot ends nobody had noted"
    ),
    KnownSeed(
        205,
        "a node that was asked to stop while its modules were loading ended "
        "with the signal's code",
    ),
    KnownSeed(
        303, "a node that was behind asked for each configuration it had missed"
    ),
    KnownSeed(
        1002,
        "a worker that came back under its id was told to forget ends up to a "
        "number of its former incarnation, before its owner saw the restart",
    ),
    KnownSeed(
        1003,
        "a start without an answer was carried out after its repeat had been "
        "rejected and its unit placed again",
    ),
    KnownSeed(
        1101,
        "the runs of a worker that came back under its id were dropped while "
        "their starts were still on their way to it",
    ),
    KnownSeed(
        2015,
        "two workers fell silent one after the other shortly before their "
        "owners were lost, and inherited work waited for each from the claim",
    ),
    *(
        KnownSeed(
            seed,
            "each successor waited anew for workers that never report, and "
            "started no inherited job meanwhile",
        )
        for seed in (2000, 2003, 2004, 2006)
    ),
    KnownSeed(
        2011,
        "units were queued for a worker whose orders got no answer, behind "
        "other starts, while other workers were free",
    ),
    *(
        KnownSeed(
            seed,
            "jobs whose starts had no answer weren't counted as waiting",
        )
        for seed in (2101, 2105)
    ),
    KnownSeed(
        3001,
        "the runs of a worker whose address changed under its id were dropped "
        "while their leases lasted",
    ),
    KnownSeed(
        3006,
        "new owners took reads from before their claims for the present state, "
        "and live owners for silent ones",
    ),
    KnownSeed(
        3010,
        "the runs of a worker were dropped because another one answered at its "
        "address",
    ),
    KnownSeed(
        3013,
        "a node whose reads were behind answered that a job to cancel is "
        "unknown",
    ),
    KnownSeed(
        2034,
        "a worker fell silent shortly before its owner was paused, and "
        "inherited work waited for it from the claim of each successor",
    ),
    KnownSeed(
        2204,
        "a worker fell silent while its service had no owner, and inherited "
        "work waited for it from the claim of each successor",
    ),
    KnownSeed(
        5100,
        "jobs whose cancellation was answered that they are unknown ran once "
        "their late submissions were stored",
    ),
)
