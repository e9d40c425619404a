"""HTTP client of the platform's VM API, which calls VMs machines."""

import datetime
import json
from typing import Any

from fireflywell import errors
from fireflywell import http_client
from fireflywell.platform import instances
from fireflywell.scheduling import maintenance

_TIMEOUT = datetime.timedelta(seconds=2)


class HttpFleetClient:
    """Lists VMs, starts their maintenance and moves them between pools."""

    __slots__ = ("_client", "_holder")

    def __init__(self, client: http_client.HttpClient, holder: str) -> None:
        self._client = client
        self._holder = holder

    async def list_vms(self) -> tuple[maintenance.Vm, ...]:
        """Returns all VMs; see `FleetClient.list_vms`."""
        vms: list[maintenance.Vm] = []
        page = ""
        while True:
            path = f"/machines?page_token={page}" if page else "/machines"
            response = await self._client.call("GET", path, b"", _TIMEOUT)
            if response.status != 200:
                raise errors.PlatformUnavailableError(
                    f"listing the VMs failed with status {response.status}"
                )
            document = json.loads(response.body)
            vms.extend(_decode_vm(item) for item in document["machines"])
            page = document.get("next_page_token") or ""
            if not page:
                return tuple(vms)

    async def begin_maintenance(
        self, vm_id: str, wave: int, token: int
    ) -> maintenance.VmRefusal | None:
        """Starts the maintenance of a VM; see `FleetClient`."""
        body = {"machine": vm_id, "wave": wave}
        return await self._send_order("/machine-upkeep", body, token)

    async def move(
        self, vm_id: str, pool: str, token: int
    ) -> maintenance.VmRefusal | None:
        """Moves a VM to another pool; see `FleetClient.move`."""
        body = {"machine": vm_id, "pool": pool}
        return await self._send_order("/machine-move", body, token)

    async def _send_order(
        self, path: str, body: dict[str, Any], token: int
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
                reason = json.loads(response.body).get("reason", "")
                try:
                    return maintenance.VmRefusal(reason)
                except ValueError:
                    return maintenance.VmRefusal.UNKNOWN
            case 400:
                return maintenance.VmRefusal.UNKNOWN
            case 429:
                return maintenance.VmRefusal.RATE
        raise errors.PlatformUnavailableError(
            f"{path} for VM {body['machine']} failed with status "
            f"{response.status}"
        )


def _decode_vm(item: dict[str, Any]) -> maintenance.Vm:
    # `machine` is the ID of the VM; `id` is the instance that runs on it.
    return maintenance.Vm(
        item["machine"],
        item.get("pool", ""),
        maintenance.VmState(item.get("state", "down")),
        item.get("zone", ""),
        tuple(item.get("labels") or ()),
        instances.decode_demand(item.get("capacity") or {}),
        item.get("id") or "",
    )
