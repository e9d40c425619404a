"""Keys and encoding of home records in the table service.

The top level of a row's JSON holds the owner's `address` and `incarnation`
and the record's `epoch`.
"""

import dataclasses
import json

import cattrs

from fireflywell import settings as settings_lib
from fireflywell.infrastructure import records
from fireflywell.requests import home_records

HOME_PREFIX = "home/"
_CONVERTER = settings_lib.make_strict_converter()


@dataclasses.dataclass(frozen=True, slots=True)
class _HomeRow:
    address: str
    incarnation: str
    epoch: int
    is_dead: bool = False
    successor: home_records.EntryId | None = None
    is_successor_dead: bool = False
    death_reporter: home_records.EntryId | None = None


def make_home_key(instance_id: str) -> str:
    """Returns the row key of an instance's home."""
    return HOME_PREFIX + instance_id


def encode_home_record(record: home_records.HomeRecord) -> str:
    """Returns the value of the row that stores a home record."""
    row = _HomeRow(
        address=record.owner.address,
        incarnation=record.owner.incarnation,
        epoch=record.epoch,
        is_dead=record.is_owner_dead,
        successor=record.successor,
        is_successor_dead=record.is_successor_dead,
        death_reporter=record.death_reporter,
    )
    return json.dumps(_CONVERTER.unstructure(row))


def decode_home_row(row: records.Row) -> home_records.HomeRecord:
    """Returns the home record stored in a row.

    Raises:
        ValueError: The row's value isn't a home record.
    """
    try:
        found = _CONVERTER.structure(json.loads(row.value), _HomeRow)
    except (
        cattrs.BaseValidationError,
        # Raised by cattrs for a document that isn't an object.
        AttributeError,
        TypeError,
    ) as error:
        raise ValueError(f"{row.key} isn't a home record") from error
    return home_records.HomeRecord(
        instance_id=row.key.removeprefix(HOME_PREFIX),
        owner=home_records.EntryId(found.address, found.incarnation),
        epoch=found.epoch,
        successor=found.successor,
        is_owner_dead=found.is_dead,
        is_successor_dead=found.is_successor_dead,
        death_reporter=found.death_reporter,
        version=row.version,
    )


def list_possible_homes(
    record: home_records.HomeRecord,
) -> frozenset[str]:
    """Returns the incarnations that may send to an instance.

    The successor is included, because the owner may have handed over to it
    while the store was unavailable. Processes recorded as terminated are
    excluded.
    """
    incarnations: set[str] = set()
    if not record.is_owner_dead:
        incarnations.add(record.owner.incarnation)
    if record.successor is not None and not record.is_successor_dead:
        incarnations.add(record.successor.incarnation)
    return frozenset(incarnations)
