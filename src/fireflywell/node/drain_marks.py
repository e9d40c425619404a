"""Marks that a VM is drained: how owners make them and orders rely on them.

An owner marks a VM as drained by setting its drain request to `READY`. The
mark's write depends only on the version of the request's row, which a takeover
doesn't change, so the store may apply it while a later owner uses the VM. A
mark therefore names the tenure that made it, and no order relies on it once
that tenure is over.
"""

from collections.abc import Sequence
import dataclasses

import anyio

from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import fleet_cache
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.scheduling import maintenance
from fireflywell.telemetry import logs


def mark_drained(
    request: maintenance.DrainRequest, tenure: ownership.Tenure
) -> maintenance.DrainRequest:
    """Returns a request with the mark that a tenure has drained the VM."""
    return dataclasses.replace(
        request,
        phase=maintenance.DrainPhase.READY,
        drained_by_service=tenure.service,
        drained_by_version=tenure.version,
    )


def reopen(request: maintenance.DrainRequest) -> maintenance.DrainRequest:
    """Returns a request without the mark, so that its VM is drained again."""
    return dataclasses.replace(
        request,
        phase=maintenance.DrainPhase.DUE,
        drained_by_service="",
        drained_by_version=0,
    )


def needs_mark(
    request: maintenance.DrainRequest, tenure: ownership.Tenure
) -> bool:
    """Returns whether a tenure has to mark a VM once the VM is empty.

    A mark of an earlier tenure is replaced. One of a later tenure isn't, so
    that an owner that was replaced doesn't undo it.
    """
    match request.phase:
        case maintenance.DrainPhase.DUE:
            return True
        case maintenance.DrainPhase.READY:
            return (
                request.drained_by_service != tenure.service
                or request.drained_by_version < tenure.version
            )
        case maintenance.DrainPhase.DONE:
            return False


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A VM that an order may take away, and its drain request.

    Attributes:
        request: The VM's drain request.
        vm: The VM as the platform listed it last, None if it never did.
        is_listed: Whether that was in the last list. A VM that is listed
            without a worker needs no mark.
    """

    request: maintenance.DrainRequest
    vm: maintenance.Vm | None
    is_listed: bool = True

    @property
    def needs_check(self) -> bool:
        """Whether the order relies on the request's mark."""
        if self.request.phase is not maintenance.DrainPhase.READY:
            return False
        return (
            self.vm is None or not self.is_listed or bool(self.vm.instance_id)
        )

    def find_mismatch(self) -> str:
        """Returns why the mark isn't of the owner of the VM; empty if it is."""
        service = self.request.drained_by_service
        if not service:
            return "it names no owner"
        # The fleet's own mark says that no owner uses an unlisted VM.
        is_of_fleet = service == ownership.FLEET_SERVICE and not self.is_listed
        vm = self.vm
        if vm is not None and vm.pool != service and not is_of_fleet:
            return f"it is of {service}, the VM is in {vm.pool}"
        return ""


@dataclasses.dataclass(frozen=True, slots=True)
class _MarkTenure:
    """The tenure under which a mark was made."""

    service: str
    version: int

    @classmethod
    def of_request(cls, request: maintenance.DrainRequest) -> "_MarkTenure":
        """Returns the tenure that a request's mark names."""
        return cls(request.drained_by_service, request.drained_by_version)


class MarkChecker:
    """Checks before an order for a VM that its mark is of the present owner.

    The check is a write that is conditional on the owner row that the mark
    names, so any later owner claims the service after it. That owner reads the
    drain requests as of its claim, finds the mark and starts nothing on the VM.
    """

    __slots__ = ("_fleet_cache", "_store", "_void")

    def __init__(
        self, store: row_store.RowStore, cache: fleet_cache.FleetCache
    ) -> None:
        self._store = store
        self._fleet_cache = cache
        # Version of each request's row whose mark no order may rely on.
        self._void: dict[str, int] = {}

    def is_void(self, request: maintenance.DrainRequest) -> bool:
        """Returns whether no order may rely on the mark of a request."""
        version = self._fleet_cache.get_version(request.vm_id)
        return self._void.get(request.vm_id) == version

    async def list_permitted(
        self, candidates: Sequence[Candidate]
    ) -> list[maintenance.DrainRequest]:
        """Returns the requests whose VM may be taken away, as far as marks say.

        One write for each owner checks all its marks, because a slow store
        carries out few of them. Without its answer none of its VMs may be taken
        away for now. A mark whose tenure is over isn't checked again.

        Args:
            candidates: The requests and their VMs.
        """
        versions = {
            item.request.vm_id: self._fleet_cache.get_version(
                item.request.vm_id
            )
            for item in candidates
        }
        unchecked = [
            item
            for item in candidates
            if item.needs_check and not self.is_void(item.request)
        ]
        marked = [i for i in unchecked if self._has_valid_owner(i)]
        tenures = {_MarkTenure.of_request(item.request) for item in marked}
        objections: dict[_MarkTenure, str | None] = {}

        async def check(tenure: _MarkTenure) -> None:
            objections[tenure] = await self._find_objection(tenure)

        async with anyio.create_task_group() as group:
            for tenure in tenures:
                group.start_soon(check, tenure)
        permitted = [i.request for i in candidates if not i.needs_check]
        for item in marked:
            request = item.request
            objection = objections[_MarkTenure.of_request(request)]
            version = versions[request.vm_id]
            if objection:
                self._void[request.vm_id] = version
                _log_unused(request, objection)
            elif (
                objection is not None
                # The owner may have set the request back during the check.
                and self._fleet_cache.get_version(request.vm_id) == version
            ):
                permitted.append(request)
        return permitted

    def _has_valid_owner(self, candidate: Candidate) -> bool:
        """Returns whether a mark names the owner of its VM's pool."""
        reason = candidate.find_mismatch()
        if reason:
            vm_id = candidate.request.vm_id
            self._void[vm_id] = self._fleet_cache.get_version(vm_id)
            _log_unused(candidate.request, reason)
        return not reason

    async def _find_objection(self, tenure: _MarkTenure) -> str | None:
        """Returns why the marks of a tenure can't be relied on.

        Returns:
            The reason; empty if they can be, None without an answer.
        """
        try:
            result = await self._store.transact(
                row_store.Transaction(
                    (
                        row_store.Condition(
                            tables.locate_owner(tenure.service), tenure.version
                        ),
                    ),
                    (row_store.Put(tables.locate_check(tenure.service), b""),),
                )
            )
        except errors.PlatformError as error:
            # Only this service's partition may fail; other orders go on.
            logs.log_event(
                "upkeep.marks_unchecked",
                service=tenure.service,
                version=tenure.version,
                error=str(error),
            )
            return None
        match result:
            case row_store.Committed():
                return ""
            case row_store.Conflict():
                return "the ownership under which it was made is over"


def _log_unused(request: maintenance.DrainRequest, reason: str) -> None:
    logs.log_event(
        "upkeep.mark_unused",
        machine=request.vm_id,
        wave=request.wave,
        target=request.target,
        service=request.drained_by_service,
        version=request.drained_by_version,
        reason=reason,
    )
