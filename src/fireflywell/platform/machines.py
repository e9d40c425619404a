"""HTTP client of the platform's VM API, which calls VMs machines."""

import datetime
import json
from typing import Any
import urllib.parse

from fireflywell import errors
from fireflywell import http_client
from fireflywell.platform import instances
from fireflywell.platform import json_values
from fireflywell.scheduling import maintenance
from fireflywell.telemetry import logs

_TIMEOUT = datetime.timedelta(seconds=2)

# How often a list that changed between its pages is read. Each page costs a
# call, and a later list shows what this one doesn't.
_MAX_READS = 2

# What the reasons in the body of status 409 mean. The other refusals are told
# by their status alone.
_REFUSALS = {
    "fence": maintenance.VmRefusal.FENCED,
    "busy": maintenance.VmRefusal.BUSY,
    "wave": maintenance.VmRefusal.NOT_IN_WAVE,
}


class HttpFleetClient:
    """Lists VMs, starts their maintenance and moves them between pools."""

    __slots__ = ("_client", "_holder")

    def __init__(self, client: http_client.HttpClient, holder: str) -> None:
        self._client = client
        self._holder = holder

    async def list_vms(self) -> tuple[maintenance.Vm, ...]:
        """Returns the listed VMs; see `FleetClient.list_vms`.

        The pages of a long list are read one after the other, so what is
        returned was never true at one moment. Each VM in it was in the state
        that it shows when its page was read. A VM that is missing may exist:
        if tokens are positions, a VM that leaves its page between two calls
        moves the first VM of the next page out of both. That can't be seen
        from the pages. A VM that is in two pages can, and the list is then
        read once more; if that shows one twice again, the later page counts.

        Raises:
            PlatformError: The platform doesn't answer, or the pages can't be
                read.
        """
        for _ in range(_MAX_READS):
            vms = await self._read_pages()
            by_name = {vm.name: vm for vm in vms}
            if len(by_name) == len(vms):
                break
            logs.log_event(
                "fleet.list_changed", vms=len(by_name), listed=len(vms)
            )
        return tuple(by_name.values())

    async def _read_pages(self) -> list[maintenance.Vm]:
        vms: list[maintenance.Vm] = []
        page = ""
        pages = {page}
        while True:
            query = urllib.parse.urlencode({"page_token": page})
            path = f"/machines?{query}" if page else "/machines"
            response = await self._client.call("GET", path, b"", _TIMEOUT)
            if response.status != 200:
                raise errors.PlatformUnavailableError(
                    f"listing the VMs failed with status {response.status}"
                )
            found, page = _decode_page(response.body)
            vms.extend(found)
            if not page:
                break
            if page in pages:
                raise errors.AnswerLostError(
                    f"the list of VMs names page {page!r} twice; it is read "
                    "again later"
                )
            pages.add(page)
        if len(pages) > 1:
            logs.log_event("fleet.pages_joined", pages=len(pages), vms=len(vms))
        return vms

    async def begin_maintenance(
        self, vm_id: str, wave: int, token: int
    ) -> maintenance.VmRefusal | None:
        """Starts the maintenance of a VM; see `FleetClient`."""
        body = {"machine": vm_id, "wave": wave}
        return await self._send_order(
            "/machine-upkeep", body, token, maintenance.VmRefusal.NO_SUCH_VM
        )

    async def move(
        self, vm_id: str, pool: str, token: int
    ) -> maintenance.VmRefusal | None:
        """Moves a VM to another pool; see `FleetClient.move`."""
        body = {"machine": vm_id, "pool": pool}
        # Status 400 may also mean that the pool takes no such VMs.
        return await self._send_order(
            "/machine-move", body, token, maintenance.VmRefusal.UNKNOWN
        )

    async def _send_order(
        self,
        path: str,
        body: dict[str, Any],
        token: int,
        refusal_of_400: maintenance.VmRefusal,
    ) -> maintenance.VmRefusal | None:
        # `Duty-Holder` is the name of the node that sends the order.
        headers = (
            f"X-Fireflywell-Duty-Holder: {self._holder}\r\n"
            f"X-Fireflywell-Fencing-Token: {token}\r\n"
        )
        response = await self._client.call(
            "POST", path, json.dumps(body).encode(), _TIMEOUT, headers
        )
        match response.status:
            case 200:
                return None
            case 409:
                try:
                    item = json_values.parse_object(response.body)
                    return _REFUSALS.get(
                        json_values.read_text(item.get("reason"), "reason"),
                        maintenance.VmRefusal.UNKNOWN,
                    )
                except ValueError:
                    return maintenance.VmRefusal.UNKNOWN
            case 400:
                return refusal_of_400
            case 429:
                return maintenance.VmRefusal.RATE
            case 503:
                raise errors.PlatformUnavailableError(
                    f"{path} for VM {body['machine']} was rejected with status "
                    "503 and changed nothing; retry later"
                )
        # A gateway may answer with an error although the order was passed on.
        raise errors.AnswerLostError(
            f"{path} for VM {body['machine']} failed with status "
            f"{response.status}; it may be carried out"
        )


def _decode_page(body: bytes) -> tuple[tuple[maintenance.Vm, ...], str]:
    """Decodes one page of the list of VMs.

    One odd VM makes the whole page unreadable, because decisions on a list
    without it could take more VMs away than its service may miss.

    Returns:
        The VMs, and the token of the next page, empty after the last one.

    Raises:
        AnswerLostError: The page can't be read.
    """
    try:
        document = json_values.parse_object(body)
        items = json_values.read_list(document.get("machines"), "machines")
        vms = tuple(
            _decode_vm(json_values.read_object(item, "VM")) for item in items
        )
        return vms, json_values.read_text(
            document.get("next_page_token"), "next_page_token", ""
        )
    except ValueError as error:
        raise errors.AnswerLostError(
            f"the list of VMs can't be read: {error}; it is read again later"
        ) from error


def _decode_vm(item: dict[str, Any]) -> maintenance.Vm:
    # `machine` is the ID of the VM; `id` is the instance that runs on it.
    return maintenance.Vm(
        json_values.read_text(item.get("machine"), "machine"),
        json_values.read_text(item.get("pool"), "pool", ""),
        maintenance.VmState(
            json_values.read_text(item.get("state"), "state", "down")
        ),
        json_values.read_text(item.get("zone"), "zone", ""),
        json_values.read_texts(item.get("labels"), "labels", []),
        instances.decode_demand(
            json_values.read_object(item.get("capacity"), "capacity", {})
        ),
        json_values.read_text(item.get("id"), "id", ""),
    )
