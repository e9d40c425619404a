"""Settings of a node process."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True, slots=True)
class OperatingLimits:
    """Time limits agreed with the operators.

    Attributes:
        lease: How long a silent owner keeps its services.
        longest_run_lease: Longest lease that a worker grants to its runs.
        stop: Longest time that a worker takes to stop a run.
        grace: Time between SIGTERM and SIGKILL.
        status_retention: How long a final state must be shown.
        away_notice: Time for which a unit's absence counts against planned
            work on others of its step.
        move: Time for which a VM is away when it changes its pool.
        upkeep: Time for which a VM is away for maintenance.
        far_factor: How many times as long a unit takes away from its data.
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
        metrics_address: Where metrics are served; empty for nowhere.
        store_address: The row store.
        machines_address: The service that lists and moves VMs.
        advice_address: The service that decides on eligible workers.
        bounds: Time limits.
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
