"""Caches the newest known rows of the services' owners."""

from fireflywell.coordination import row_store
from fireflywell.node import owner_records
from fireflywell.node import tables
from fireflywell.telemetry import logs


class OwnerRows:
    """The newest row of each service's owner that was read or written."""

    __slots__ = ("_confirmations", "_records", "_versions")

    def __init__(self) -> None:
        self._records: dict[str, owner_records.OwnerRecord] = {}
        self._versions: dict[str, int] = {}
        # Versions of the rows with which owners confirm their ownership.
        self._confirmations: dict[str, int] = {}

    def find(self, service: str) -> owner_records.OwnerRecord | None:
        """Returns a service's owner; None if no row is known."""
        return self._records.get(service)

    def get_version(self, service: str) -> int:
        """Returns the version of the owner's row; 0 if no row is known."""
        return self._versions.get(service, 0)

    def make_change(
        self, service: str, record: owner_records.OwnerRecord
    ) -> row_store.Transaction:
        """Returns a write of an owner's row, unless the row has changed."""
        row_key = tables.locate_owner(service)
        version = self.get_version(service)
        value = owner_records.encode_owner(record)
        return row_store.Transaction(
            (row_store.Condition(row_key, version),),
            (row_store.Put(row_key, value),),
        )

    def make_claim(
        self, service: str, record: owner_records.OwnerRecord
    ) -> row_store.Transaction:
        """Returns a claim, which fails once the owner has confirmed itself."""
        change = self.make_change(service, record)
        condition = row_store.Condition(
            tables.locate_confirmation(service),
            self._confirmations.get(service, 0),
        )
        return row_store.Transaction((*change.expected, condition), change.puts)

    def apply_confirmation(self, row: row_store.Row) -> None:
        """Applies the row with which an owner has confirmed its ownership."""
        service = row.row_key.partition
        self._confirmations[service] = max(
            row.version, self._confirmations.get(service, 0)
        )

    def apply(self, row: row_store.Row) -> owner_records.OwnerRecord | None:
        """Applies the row of an owner.

        Returns:
            The owner, or None if the row can't be read or isn't newer than the
            known one.
        """
        service = row.row_key.partition
        if row.version <= self.get_version(service):
            return None
        try:
            record = owner_records.decode_owner(row.value)
        except Exception as error:
            logs.log_event(
                "ownership.unreadable", service=service, error=repr(error)
            )
            return None
        self._records[service] = record
        self._versions[service] = row.version
        logs.log_event(
            "ownership.observed",
            service=service,
            owner=record.node,
            token=record.token,
        )
        return record
