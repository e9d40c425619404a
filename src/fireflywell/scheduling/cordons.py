"""When a worker gets no new units because its VM is to be taken away.

A cordon follows from the VM's drain request and lasts as long as that is open.
After the order for the VM, a worker that still reports proves that the VM
wasn't taken away: its order was refused, or its maintenance was withdrawn.
"""

import dataclasses

from fireflywell.scheduling import maintenance

# A report that arrives this long after a request was closed was requested after
# it. It exceeds the time limit of a request for a report.
_REPORT_MARGIN_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cordon:
    """Reason why a worker gets no new units.

    Attributes:
        wave: Wave of the drain request.
        target: Pool that the VM moves to; empty for maintenance.
        since_s: Monotonic time at which the worker was cordoned.
        closed_s: Monotonic time at which the request was first seen closed;
            None while it is open.
    """

    wave: int
    target: str
    since_s: float
    closed_s: float | None = None


def make_cordon(request: maintenance.DrainRequest, now_s: float) -> Cordon:
    """Returns the cordon of a worker whose VM has an open drain request."""
    return Cordon(request.wave, request.target, now_s)


def update_cordon(
    cordon: Cordon | None,
    request: maintenance.DrainRequest | None,
    reported_s: float,
    now_s: float,
) -> Cordon | None:
    """Returns a worker's cordon according to its VM's drain request.

    Args:
        cordon: The cordon so far.
        request: The VM's drain request, or None if there is none.
        reported_s: Monotonic time of the worker's last report.
        now_s: Monotonic time.
    """
    if request is None:
        return None
    # A request that was closed and is open again is another one.
    is_same = (
        cordon is not None
        and cordon.closed_s is None
        and (cordon.wave, cordon.target) == (request.wave, request.target)
    )
    match request.phase:
        case maintenance.DrainPhase.READY:
            return cordon if is_same else make_cordon(request, now_s)
        case maintenance.DrainPhase.DUE:
            # The owner chooses when to cordon the worker for a new request.
            return cordon if is_same else None
        case maintenance.DrainPhase.DONE:
            return _keep_until_reported(cordon, reported_s, now_s)


def _keep_until_reported(
    cordon: Cordon | None, reported_s: float, now_s: float
) -> Cordon | None:
    if cordon is None:
        return None
    if cordon.closed_s is None:
        return dataclasses.replace(cordon, closed_s=now_s)
    if reported_s > cordon.closed_s + _REPORT_MARGIN_S:
        return None
    return cordon
