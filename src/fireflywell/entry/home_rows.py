"""Rows of the homes in the table service."""

import dataclasses
import json

import cattrs

from fireflywell import settings as settings_lib
from fireflywell.platform import records
from fireflywell.requests import home_records

HOME_PREFIX = "home/"
_CONVERTER = settings_lib.make_strict_converter()


def make_home_key(instance_id: str) -> str:
    """Returns the row key of an instance's home."""
    return HOME_PREFIX + instance_id


def encode_home_record(record: home_records.HomeRecord) -> str:
    """Returns the text of a row; the row's version isn't part of it."""
    document = dataclasses.asdict(record)
    del document["version"]
    return json.dumps(document)


def decode_home_row(row: records.Row) -> home_records.HomeRecord:
    """Returns the record held by a row.

    Raises:
        ValueError: The text isn't a home record.
    """
    try:
        record = _CONVERTER.structure(
            json.loads(row.value), home_records.HomeRecord
        )
    except cattrs.BaseValidationError as error:
        raise ValueError(f"{row.key} isn't a home record") from error
    return dataclasses.replace(record, version=row.version)
