"""Reads VM records and writes them under a lease in the table service."""

import random

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import transactions
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables


class VmStore:
    """Caches all VM records and writes them by compare-and-set."""

    __slots__ = ("_clock", "_random", "_records", "_revision", "_table",
                 "_versions")  # fmt: skip

    def __init__(
        self,
        table: tables.Table,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        """Creates a store with an empty cache.

        Args:
            table: Table service; a `FencedTable` for the holder of a lease.
            clock: Clock of this process.
            rng: Source of write ids.
        """
        self._table = table
        self._clock = clock
        self._random = rng
        self._records: dict[str, vm_records.VmRecord] = {}
        self._versions: dict[str, int] = {}
        self._revision = 0

    @property
    def records(self) -> tuple[vm_records.VmRecord, ...]:
        """All records as last read or written."""
        return tuple(self._records.values())

    def find(self, vm_id: str) -> vm_records.VmRecord | None:
        """Returns the record of a VM, or None if it has none."""
        return self._records.get(vm_id)

    async def refresh(self) -> None:
        """Updates the cache with the rows that changed since the last read.

        Raises:
            PlatformError: The store can't be reached.
        """
        page = await tables.scan_all_rows(
            self._table, vm_records.VM_PREFIX, self._revision
        )
        for row in page.rows:
            # The page may have been read before a later write of this store.
            if row.version > self._versions.get(row.key, 0):
                record = vm_records.decode_vm_record(row.value)
                self._records[record.vm_id] = record
                self._versions[row.key] = row.version
        for key in page.deleted:
            self._evict_record(key)
        self._revision = max(self._revision, page.revision)

    async def write(self, record: vm_records.VmRecord) -> None:
        """Writes a record if the row is unchanged since it was last read.

        Raises:
            ConflictError: Another process changed the row.
            LeaseLostError: This process no longer holds the lease.
            PlatformError: Nothing was written.
            OutcomeUnknownError: The record may or may not have been written.
        """
        value = vm_records.encode_vm_record(record)
        key = vm_records.make_vm_key(record.vm_id)
        await self._apply(key, value)
        self._records[record.vm_id] = record
        self._versions[key] = self._versions.get(key, 0) + 1

    async def delete(self, vm_id: str) -> None:
        """Deletes a VM's record; raises the same errors as `write`."""
        key = vm_records.make_vm_key(vm_id)
        await self._apply(key, None)
        self._evict_record(key)

    async def _apply(self, key: str, value: str | None) -> None:
        transaction = records.Transaction(
            transactions.make_write_id(self._random),
            (records.Condition(key, self._versions.get(key, 0)),),
            (records.Write(key, value),),
        )
        result = await transactions.apply_transaction(
            self._table, transaction, self._clock, self._random
        )
        match result:
            case records.Conflict(actual_version=version):
                raise errors.ConflictError(
                    f"row {key} has version {version}, not "
                    f"{self._versions.get(key, 0)}; another process changed "
                    "it, so it is read again"
                )

    def _evict_record(self, key: str) -> None:
        self._versions.pop(key, None)
        self._records.pop(key.removeprefix(vm_records.VM_PREFIX), None)
