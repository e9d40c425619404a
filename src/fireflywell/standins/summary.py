"""Counts over all stand-in instances of a deployment."""

import collections
import dataclasses

from fireflywell.standins import endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSummary:
    """Counts over all instances of a deployment.

    Attributes:
        runs: Requests run.
        postings: Requests run with another method than GET and HEAD.
        postings_run_twice: Postings to the same service with the same body,
            beyond the first.
        requests_cut: Requests in progress when their VM went away.
        highest_in_progress: Largest number at any one instance.
        highest_open_connections: Largest number at any one instance.
    """

    runs: int
    postings: int
    postings_run_twice: int
    requests_cut: int
    highest_in_progress: int
    highest_open_connections: int


def summarize_instances(
    applications: list[endpoint.EndpointApplication],
) -> InstanceSummary:
    """Returns the counts over all instances."""
    postings: collections.Counter[str] = collections.Counter()
    for application in applications:
        service = application.name.partition("@")[0]
        postings.update(
            f"{service} {run.body}"
            for run in application.runs
            if run.method not in ("GET", "HEAD")
        )
    return InstanceSummary(
        runs=sum(item.run_count for item in applications),
        postings=postings.total(),
        postings_run_twice=postings.total() - len(postings),
        requests_cut=sum(item.requests_cut for item in applications),
        highest_in_progress=max(
            (item.highest_in_progress for item in applications), default=0
        ),
        highest_open_connections=max(
            (item.highest_open_connections for item in applications), default=0
        ),
    )
