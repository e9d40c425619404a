"""Settings of a node process."""

import dataclasses
import datetime

from fireflywell.coordination import row_store


@dataclasses.dataclass(frozen=True, slots=True)
class OperatingLimits:
    """Time limits agreed with the operators.

    Attributes:
        lease: Time after its last renewal for which a node keeps its services.
        longest_run_lease: Longest lease that a worker grants to its runs.
        stop: Longest time that a worker takes to stop a run.
        grace: Time between SIGTERM and SIGKILL.
        status_retention: How long callers can read a job's final state.
        away_notice: Time for which an absent unit counts against planned work
            on other units of its step.
        move: Time for which a VM is unavailable while it changes its pool.
        upkeep: Time for which a VM is unavailable for maintenance.
        far_factor: Factor by which a unit's duration grows on a worker that is
            far from the unit's data.
        history: For how long the store keeps its changes.
    """

    lease: datetime.timedelta
    longest_run_lease: datetime.timedelta
    stop: datetime.timedelta
    grace: datetime.timedelta
    status_retention: datetime.timedelta
    away_notice: datetime.timedelta
    move: datetime.timedelta
    upkeep: datetime.timedelta
    far_factor: float
    history: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one node.

    Attributes:
        name: Name of the node.
        zone: Availability zone.
        callers_address: Where callers are served.
        readiness_address: Where the load balancer asks for readiness.
        metrics_address: Where metrics are served; empty if they aren't.
        store_address: Address of the row store.
        machines_address: Address of the service that lists and moves VMs.
        advice_address: Address of the service that decides on eligible workers.
        bounds: Operating limits.
        cpu_millis: Processor speed, in thousandths of a core.
        row_bytes: Largest value of a row of the store.
    """

    name: str
    zone: str
    callers_address: str
    readiness_address: str
    metrics_address: str
    store_address: str
    machines_address: str
    advice_address: str
    bounds: OperatingLimits
    cpu_millis: int = 1000
    row_bytes: int = row_store.DEFAULT_ROW_BYTES
