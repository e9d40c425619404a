"""Drain requests, VM needs and spare VMs as stored in the fleet's table."""

from collections.abc import Callable
from collections.abc import Sequence
import json

import msgpack

from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import tables
from fireflywell.scheduling import maintenance
from fireflywell.telemetry import logs

_REQUEST_PREFIX = "vm/"
_NEED_PREFIX = "need/"
_SPARE_POOL_KEY = "floating"

# A need with more digits than this is no number of VMs.
_MAX_NEED_DIGITS = 9

# A transaction holds at most 100 entries: a condition and a row for each
# request, and further conditions.
_REQUESTS_PER_WRITE = 45


class FleetCache:
    """Caches the rows of the fleet's partition as last read or written."""

    __slots__ = (
        "_is_loaded",
        "_listeners",
        "_needs",
        "_removed",
        "_requests",
        "_spare_pool_version",
        "spare_pool_vms",
    )

    def __init__(self) -> None:
        self._listeners: list[Callable[[], None]] = []
        # Number of VMs that each service could use, and the row's version.
        self._needs: dict[str, tuple[int, int]] = {}
        # VMs that belong to the spare pool, whichever pool they are in now.
        self.spare_pool_vms: frozenset[str] = frozenset()
        self._spare_pool_version = 0
        self._requests: dict[str, tuple[maintenance.DrainRequest, int]] = {}
        # Version at which each drain request was removed.
        self._removed: dict[str, int] = {}
        self._is_loaded = False

    @property
    def is_loaded(self) -> bool:
        """Whether all rows were read since the cache was last cleared."""
        return self._is_loaded

    @property
    def spare_pool_version(self) -> int:
        """Version of the row of the spare pool's VMs; 0 if there is none."""
        return self._spare_pool_version

    def list_drain_requests(self) -> tuple[maintenance.DrainRequest, ...]:
        """Returns all drain requests."""
        return tuple(request for request, _ in self._requests.values())

    def find(self, vm_id: str) -> maintenance.DrainRequest | None:
        """Returns the drain request of a VM, or None."""
        entry = self._requests.get(vm_id)
        return entry[0] if entry else None

    def get_version(self, vm_id: str) -> int:
        """Returns the version of a drain request's row; 0 if there is none."""
        entry = self._requests.get(vm_id)
        return entry[1] if entry else 0

    def subscribe(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Calls `listener` after each change.

        Returns:
            A function that ends the subscription.
        """
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def get_needs(self) -> dict[str, int]:
        """Returns how many VMs each service could use."""
        return {service: need for service, (need, _) in self._needs.items()}

    def clear(self) -> None:
        """Drops all rows, for when nothing keeps them up to date."""
        self._requests = {}
        self._removed = {}
        self._needs = {}
        self.spare_pool_vms = frozenset()
        self._spare_pool_version = 0
        self._is_loaded = False

    def load_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        """Applies a full read of the partition; the cache is then loaded."""
        self._is_loaded = True
        self.apply_rows(rows)

    def apply_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        """Applies rows of the fleet's partition and calls the listeners.

        Rows that are older than the cached ones are ignored, so that a read of
        an earlier state doesn't set the cache back.
        """
        self._apply_drain_requests(rows)
        for row in rows:
            try:
                self._apply_pool_row(row)
            except Exception as error:
                # A fault of one row must not keep the others out.
                logs.log_event(
                    "upkeep.unreadable", key=row.row_key.key, error=repr(error)
                )
        for listener in tuple(self._listeners):
            listener()

    def _apply_pool_row(self, row: row_store.Row) -> None:
        """Applies the list of spare VMs or the need of a service.

        Raises:
            Exception: The value can't be decoded; `msgpack` has many errors.
        """
        key = row.row_key.key
        if key == _SPARE_POOL_KEY:
            if row.version >= self._spare_pool_version:
                self.spare_pool_vms = frozenset(msgpack.unpackb(row.value))
                self._spare_pool_version = row.version
        elif key.startswith(_NEED_PREFIX):
            service = key.removeprefix(_NEED_PREFIX)
            cached = self._needs.get(service)
            if cached is None or cached[1] < row.version:
                is_number = row.value.isdigit() and (
                    len(row.value) <= _MAX_NEED_DIGITS
                )
                need = int(row.value) if is_number else 0
                self._needs[service] = (need, row.version)

    def _apply_drain_requests(self, rows: tuple[row_store.Row, ...]) -> None:
        for row in rows:
            if not row.row_key.key.startswith(_REQUEST_PREFIX):
                continue
            vm_id = row.row_key.key.removeprefix(_REQUEST_PREFIX)
            known = max(self.get_version(vm_id), self._removed.get(vm_id, 0))
            if row.version <= known:
                continue
            if row.is_removed:
                self._requests.pop(vm_id, None)
                self._removed[vm_id] = row.version
                continue
            try:
                request = _decode_drain_request(vm_id, row.value)
            except Exception as error:
                logs.log_event(
                    "upkeep.unreadable", machine=vm_id, error=repr(error)
                )
                continue
            self._requests[vm_id] = (request, row.version)
            logs.log_event(
                "upkeep.observed",
                machine=vm_id,
                wave=request.wave,
                target=request.target,
                phase=str(request.phase),
                version=row.version,
            )


def locate_drain_request(partition: str, vm_id: str) -> row_store.RowKey:
    """Returns the row key of a VM's drain request."""
    return row_store.RowKey(tables.FLEET, partition, _REQUEST_PREFIX + vm_id)


def locate_need(partition: str, service: str) -> row_store.RowKey:
    """Returns the row key of the number of VMs that a service could use."""
    return row_store.RowKey(tables.FLEET, partition, _NEED_PREFIX + service)


def locate_spare_pool_vms(partition: str) -> row_store.RowKey:
    """Returns the row key of the list of VMs that belong to the spare pool."""
    return row_store.RowKey(tables.FLEET, partition, _SPARE_POOL_KEY)


def encode_drain_request(request: maintenance.DrainRequest) -> bytes:
    """Returns the stored form of a drain request."""
    fields: list[object] = [
        request.wave,
        str(request.phase),
        request.deadline_s,
        request.max_concurrent,
        request.target,
    ]
    if request.phase is maintenance.DrainPhase.READY or request.begun_waves:
        fields += [request.drained_by_service, request.drained_by_version]
    if request.begun_waves:
        fields.append(request.begun_waves)
    return bytes(msgpack.packb(fields))


def _decode_drain_request(vm_id: str, value: bytes) -> maintenance.DrainRequest:
    """Decodes a drain request; one without a mark or waves has fewer fields.

    Raises:
        Exception: The value can't be decoded; `msgpack` has many errors.
    """
    wave, phase, deadline_s, max_concurrent, target, *mark = msgpack.unpackb(
        value
    )
    service, version, *begun_waves = mark or ("", 0)
    return maintenance.DrainRequest(
        vm_id,
        int(wave),
        maintenance.DrainPhase(phase),
        float(deadline_s),
        int(max_concurrent),
        str(target),
        str(service),
        int(version),
        tuple(int(item) for item in begun_waves[0]) if begun_waves else (),
    )


async def read_rows(
    store: row_store.RowStore,
    cache: FleetCache,
    partition: str,
    at_least: int,
) -> None:
    """Reads all rows of the fleet's partition into a cache.

    The cache may be behind. A new owner thereby knows what former owners stored
    before its claim.

    Args:
        store: The store.
        cache: The cache.
        partition: The fleet's partition.
        at_least: Version of the store that the read must not precede.

    Raises:
        PlatformError: The store doesn't answer or shows an older state.
    """
    page = await store.read(tables.FLEET, partition, at_least=at_least)
    cache.apply_rows(page.rows)


async def store_drain_request(
    store: row_store.RowStore,
    cache: FleetCache,
    partition: str,
    request: maintenance.DrainRequest,
    conditions: tuple[row_store.Condition, ...] = (),
) -> bool:
    """Stores a drain request if its row still has the cached version.

    Args:
        store: The store.
        cache: Holds the row's version; it gets the row that is stored or, in
            a conflict, the one that is there.
        partition: The fleet's partition.
        request: The new request.
        conditions: Further conditions of the write.

    Returns:
        Whether it was stored. False also if the call failed, although the
        write may then have been applied.
    """
    return await _store_together(
        store, cache, partition, (request,), conditions
    )


async def store_drain_requests(
    store: row_store.RowStore,
    cache: FleetCache,
    partition: str,
    requests: Sequence[maintenance.DrainRequest],
    conditions: tuple[row_store.Condition, ...] = (),
) -> frozenset[str]:
    """Stores drain requests like `store_drain_request`, in few transactions.

    If the row of one of them has changed, each is stored by itself.

    Returns:
        The VMs whose request was stored.
    """
    stored: set[str] = set()
    for start in range(0, len(requests), _REQUESTS_PER_WRITE):
        batch = tuple(requests[start : start + _REQUESTS_PER_WRITE])
        if await _store_together(store, cache, partition, batch, conditions):
            stored.update(request.vm_id for request in batch)
        elif len(batch) > 1:
            for request in batch:
                if await _store_together(
                    store, cache, partition, (request,), conditions
                ):
                    stored.add(request.vm_id)
    return frozenset(stored)


async def _store_together(
    store: row_store.RowStore,
    cache: FleetCache,
    partition: str,
    requests: tuple[maintenance.DrainRequest, ...],
    conditions: tuple[row_store.Condition, ...],
) -> bool:
    """Stores drain requests of different VMs, all or none."""
    expected = list(conditions)
    puts = []
    for request in requests:
        row_key = locate_drain_request(partition, request.vm_id)
        version = cache.get_version(request.vm_id)
        expected.append(row_store.Condition(row_key, version))
        puts.append(row_store.Put(row_key, encode_drain_request(request)))
    try:
        result = await store.transact(
            row_store.Transaction(tuple(expected), tuple(puts))
        )
    except errors.PlatformError as error:
        logs.log_event(
            "upkeep.not_stored",
            machine=",".join(request.vm_id for request in requests),
            error=str(error),
        )
        return False
    match result:
        case row_store.Committed(version=committed):
            cache.apply_rows(
                tuple(
                    row_store.Row(put.row_key, put.value, committed)
                    for put in puts
                )
            )
            return True
        case row_store.Conflict(rows=rows):
            cache.apply_rows(rows)
            return False


def encode_wave_state(state: str) -> bytes:
    """Returns the stored form of a wave's state, which operators read."""
    return json.dumps({"state": state}).encode()
