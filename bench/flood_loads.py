"""Loads of both deployments on one service of 6 instances."""

import dataclasses
import datetime

from fireflywell.bundle import model

ENTRIES = 6
SLOTS = 8
TEAMS = tuple(model.Team(f"team{number}") for number in range(4))
# The flood comes from this team.
FLOOD_TEAM = TEAMS[0].name


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one class.

    Attributes:
        config: The class as in the bundle.
        run_time: Mean run time in seconds.
        load: Part of all slots that the stream keeps busy.
    """

    config: model.RequestClass
    run_time: float
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Streams of a deployment, most urgent first."""

    name: str
    streams: tuple[Stream, ...]


def _make_stream(
    name: str, weight: float, run_time: float, load: float, deadline: float
) -> Stream:
    kind = model.ClassKind.LONG if deadline == 0 else model.ClassKind.QUICK
    limit = datetime.timedelta(seconds=deadline) if deadline else None
    config = model.RequestClass(name, weight, kind, limit)
    return Stream(config, run_time, load)


ATLAS = Deployment(
    "atlas",
    (
        _make_stream("quotes", 4.0, 0.04, 0.15, 1.0),
        _make_stream("bid-bonds", 3.0, 0.04, 0.15, 2.0),
        _make_stream("underwriting", 2.0, 2.0, 0.15, 0.0),
        _make_stream("reconciliation", 1.0, 20.0, 0.06, 0.0),
    ),
)
DISTRICT = Deployment(
    "district",
    (
        _make_stream("dispatch", 4.0, 0.06, 0.06, 1.0),
        _make_stream("bills", 3.0, 0.08, 0.12, 5.0),
        _make_stream("meter-reads", 2.0, 0.02, 0.12, 5.0),
        _make_stream("notices", 2.0, 0.04, 0.10, 10.0),
        _make_stream("reconciliation", 2.0, 20.0, 0.10, 0.0),
    ),
)


def swap_kinds(deployment: Deployment) -> Deployment:
    """Returns the deployment with every class declared as the other kind."""
    swapped = {
        model.ClassKind.LONG: model.ClassKind.QUICK,
        model.ClassKind.QUICK: model.ClassKind.LONG,
    }
    streams = tuple(
        dataclasses.replace(
            stream,
            config=dataclasses.replace(
                stream.config, kind=swapped[stream.config.kind]
            ),
        )
        for stream in deployment.streams
    )
    return dataclasses.replace(deployment, streams=streams)
