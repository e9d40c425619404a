"""The emulator's VMs: their list in pages, and their maintenance."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import datetime
import json
from typing import Any
from typing import Protocol
import urllib.parse

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell.coordination import row_store
from fireflywell.scheduling import maintenance
from fireflywell.standins import emulator_values as values
from fireflywell.standins import row_store as row_store_standin
from fireflywell.standins import vm_pages

_BODY_LIMIT_BYTES = 65536

# How long a VM is down for its maintenance.
_UPKEEP = datetime.timedelta(seconds=1.5)
_CHECK_INTERVAL = datetime.timedelta(milliseconds=50)


class EmulatedVm(Protocol):
    """A VM on which a worker may live repeatedly."""

    @property
    def pool(self) -> str:
        """Service that it belongs to."""

    @property
    def instance_id(self) -> str:
        """Its worker; empty if none runs."""

    def take_down(self) -> None:
        """Ends its worker and removes the worker's entry."""

    def bring_up(self) -> None:
        """Starts another worker and lists it."""


class EmulatedFleet:
    """Serves the platform's interface for VMs.

    After each page that isn't the last one, the first VM goes to the end of
    the list, as if it were removed and another one added. Lists of several
    pages are therefore incomplete.

    Attributes:
        begun: What has begun, in order.
    """

    __slots__ = (
        "_clock",
        "_down",
        "_names",
        "_pages",
        "_store",
        "_vms",
        "begun",
    )

    def __init__(
        self,
        vms: Mapping[str, EmulatedVm],
        store: row_store_standin.MemoryRowStore,
        page_size: int,
        clock: clock_lib.Clock,
    ) -> None:
        """Starts with all VMs up.

        Args:
            vms: The VMs by name.
            store: Holds the requested waves.
            page_size: Number of VMs in a page of the list.
            clock: The clock.
        """
        self._vms = vms
        self._names = list(vms)
        self._store = store
        self._pages = vm_pages.VmPages(page_size)
        self._clock = clock
        # The wave of each VM that is down for it, and until when.
        self._down: dict[str, tuple[int, datetime.timedelta]] = {}
        self.begun: list[values.UpkeepSeen] = []

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one call."""
        body = await asgi.read_body(receive, _BODY_LIMIT_BYTES)
        status, document = self.answer(
            scope["path"], scope["query_string"].decode(), body
        )
        await asgi.send_json(send, status, document)

    async def run(self) -> None:
        """Brings up VMs whose maintenance is over, until cancelled."""
        while True:
            now = self._clock.monotonic()
            for name, (_, until) in tuple(self._down.items()):
                if now >= until:
                    del self._down[name]
                    self._vms[name].bring_up()
            await self._clock.sleep(_CHECK_INTERVAL)

    def answer(
        self, path: str, query: str, body: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Returns the status and the document that answer a call."""
        try:
            if path == "/machines":
                fields = dict(urllib.parse.parse_qsl(query))
                return 200, self._list(fields.get("page_token", ""))
            item = json.loads(body)
            if path == "/machine-upkeep" and item["machine"] in self._vms:
                return self._begin(item["machine"], int(item["wave"]))
        except (ValueError, KeyError, TypeError) as error:
            return 400, {"error": repr(error)}
        return 400, {"error": "no such machine or pool"}

    def request(self, wave: values.WaveRequested) -> None:
        """Stores the request for a wave, as operators do."""
        self._store.put(
            _locate_wave(wave.wave),
            json.dumps(dataclasses.asdict(wave)).encode(),
        )

    def list_waves(self) -> Iterator[values.WaveSeen]:
        """Yields the requested waves."""
        for row in self._store.list_table("op"):
            if not row.row_key.key.startswith("wave/"):
                continue
            item = json.loads(row.value)
            yield values.WaveSeen(
                item["wave"],
                tuple(name for name in item["machines"] if name in self._vms),
                item["max_count"],
                self._read_state(item["wave"]),
            )

    def _read_state(self, wave: int) -> str:
        row = self._store.get(row_store.RowKey("status", "", f"wave/{wave}"))
        return str(json.loads(row.value)["state"]) if row else ""

    def _list(self, token: str) -> dict[str, Any]:
        page = self._pages.make_page(
            [self._encode(name) for name in self._names], token
        )
        if page["next_page_token"]:
            self._names.append(self._names.pop(0))
        return page

    def _encode(self, name: str) -> dict[str, Any]:
        state = maintenance.VmState.UP
        if name in self._down:
            state = maintenance.VmState.UPKEEP
        return {
            "machine": name,
            "pool": self._vms[name].pool,
            "state": str(state),
            "zone": "a",
            "labels": [],
            "capacity": {},
            "id": self._vms[name].instance_id,
        }

    def _begin(self, name: str, wave: int) -> tuple[int, dict[str, Any]]:
        if any(
            (item.wave, item.machine) == (wave, name) for item in self.begun
        ):
            return 200, {}
        if name in self._down or not self._vms[name].instance_id:
            return 409, {"reason": "busy"}
        row = self._store.get(_locate_wave(wave))
        if row is None or name not in json.loads(row.value)["machines"]:
            return 409, {"reason": "wave"}
        now = self._clock.monotonic()
        self._down[name] = (wave, now + _UPKEEP)
        down = sum(number == wave for number, _ in self._down.values())
        state = self._read_state(wave)
        self.begun.append(
            values.UpkeepSeen(wave, name, now.total_seconds(), down, state)
        )
        self._vms[name].take_down()
        return 200, {}


def _locate_wave(wave: int) -> row_store.RowKey:
    return row_store.RowKey("op", "", f"wave/{wave}")
