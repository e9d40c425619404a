"""Values of a bundle: pools, services, classes, teams and reviewers."""

import dataclasses
import datetime
import enum


class FailureDomain(enum.StrEnum):
    """The loss that a service's availability budget is to survive."""

    NONE = "none"
    VM = "vm"
    RACK = "rack"
    ZONE = "zone"


class ClassKind(enum.StrEnum):
    """Declared length of the work in a class; observed times go first."""

    QUICK = "quick"
    LONG = "long"


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A set of VMs that serve one purpose.

    Attributes:
        name: Name of the pool.
        target_vms: Number of VMs that the pool is to have.
        minimum_vms: Lower bound when the pool follows lasting shifts of
            demand; None keeps the pool at its target.
        maximum_vms: Upper bound when the pool follows lasting shifts of
            demand; None keeps the pool at its target.
        carries: Names of the job kinds that may run on its workers.
        spare: Whether other pools' jobs may run here at peaks.
    """

    name: str
    target_vms: int
    minimum_vms: int | None = None
    maximum_vms: int | None = None
    carries: tuple[str, ...] = ()
    spare: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Availability budget of a service.

    Attributes:
        minimum_instances: Instances that must serve at any moment.
        survives: Largest single loss after which that must still hold.
    """

    minimum_instances: int
    survives: FailureDomain = FailureDomain.NONE


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A back end that callers reach through the entries.

    Attributes:
        name: First part of the path of its requests.
        pool: Pool whose serving VMs each run one instance.
        port: TCP port of the instance on its VM.
        budget: Availability budget.
        slots: Requests that an instance may have in progress.
        connections: Connections that an instance may have open.
        idempotent_routes: Second path parts whose requests may be repeated,
            whatever their method.
        echoes_request_id: Whether answers carry the request's
            `Fireflywell-Request-Id`.
    """

    name: str
    pool: str
    port: int
    budget: Budget
    slots: int = 8
    connections: int = 64
    idempotent_routes: tuple[str, ...] = ()
    echoes_request_id: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests that shares queues and guarantees.

    Attributes:
        name: Name sent by callers in `Fireflywell-Class`.
        weight: Share of the slots when all classes have work.
        kind: Declared length.
        deadline: Time limit where the caller names none; None for no limit.
        queue_limit: Requests of the class that may wait at one entry for one
            service.
    """

    name: str
    weight: float
    kind: ClassKind = ClassKind.QUICK
    deadline: datetime.timedelta | None = None
    queue_limit: int = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A customer team with its share of requests and its job quota.

    Attributes:
        name: Name sent by callers in `Fireflywell-Team`.
        weight: Share within a class and among jobs.
        cores: Quota of processors for jobs.
        memory_mb: Quota of memory for jobs.
        accelerators: Quota of accelerators for jobs.
    """

    name: str
    weight: float = 1.0
    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reviewer:
    """A person whose signature counts.

    Attributes:
        name: Name of the reviewer.
        public_key: Ed25519 public key in hexadecimal.
    """

    name: str
    public_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Signing:
    """Who signs the *next* bundle, and how many must."""

    threshold: int
    reviewers: tuple[Reviewer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Maintenance:
    """Rules of maintenance waves.

    Attributes:
        enabled: Whether waves run at all.
        interval: Every VM is maintained once in this time.
        wave_size: VMs that one wave may have out of service together.
        return_timeout: A VM that isn't back after this counts as failed.
    """

    enabled: bool = True
    interval: datetime.timedelta = datetime.timedelta(days=21)
    wave_size: int = 4
    return_timeout: datetime.timedelta = datetime.timedelta(minutes=10)


@dataclasses.dataclass(frozen=True, slots=True)
class Bundle:
    """Everything that operators decide, as one reviewed document.

    Attributes:
        version: 1 for the first; each accepted bundle adds exactly 1.
    """

    version: int
    signing: Signing
    pools: tuple[Pool, ...]
    services: tuple[Service, ...]
    classes: tuple[RequestClass, ...]
    teams: tuple[Team, ...]
    maintenance: Maintenance = Maintenance()

    def find_service(self, name: str) -> Service | None:
        """Returns the service of that name, or None."""
        for service in self.services:
            if service.name == name:
                return service
        return None
