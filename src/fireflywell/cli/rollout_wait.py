"""Asks entries which bundle version is in force."""

import dataclasses
import datetime
import json

import click
import httpcore

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell import send_tracker

_ASK_INTERVAL = datetime.timedelta(milliseconds=200)
_ASK_TIMEOUT_SECONDS = 2.0
# Shorter waits end before a reader would wonder.
_QUIET_TIME = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryReport:
    """What one entry answered; version -1 if it didn't."""

    address: str
    version: int


async def wait_for_version(
    version: int, addresses: tuple[str, ...], timeout_seconds: float
) -> tuple[EntryReport, ...]:
    """Asks entries until all have a version, or a higher one, in force.

    Raises:
        OutcomeUnknownError: Some didn't in time; the message names them.
    """
    clock = clock_lib.SystemClock()
    started = clock.monotonic()
    last_note = started
    async with httpcore.AsyncConnectionPool() as pool:
        while True:
            reports = tuple(
                [await _ask(pool, address) for address in addresses]
            )
            behind = [item for item in reports if item.version < version]
            if not behind:
                return reports
            now = clock.monotonic()
            if (now - started).total_seconds() >= timeout_seconds:
                raise _make_error(version, behind, timeout_seconds)
            if now - last_note >= _QUIET_TIME:
                last_note = now
                done = len(reports) - len(behind)
                click.echo(
                    f"{done} of {len(reports)} entries have version {version}",
                    err=True,
                )
            await clock.sleep(_ASK_INTERVAL)


async def _ask(pool: httpcore.AsyncConnectionPool, address: str) -> EntryReport:
    url = f"{address.rstrip('/')}/fireflywell/status"
    limits = dict.fromkeys(
        ("connect", "read", "write", "pool"), _ASK_TIMEOUT_SECONDS
    )
    try:
        response = await pool.request(
            "GET", url, extensions={"timeout": limits}
        )
        document = json.loads(response.content)
        return EntryReport(address, int(document["bundle_version"]))
    except httpcore.UnsupportedProtocol as error:
        raise errors.SettingsError(
            f"entry {address}: not an HTTP address; write it like "
            "http://127.0.0.1:8080"
        ) from error
    except (*send_tracker.EXCHANGE_ERRORS, ValueError, KeyError, TypeError):
        return EntryReport(address, -1)


def _make_error(
    version: int, behind: list[EntryReport], timeout_seconds: float
) -> errors.OutcomeUnknownError:
    names = ", ".join(
        f"{item.address} (version {item.version})"
        if item.version >= 0
        else f"{item.address} (no answer)"
        for item in behind
    )
    return errors.OutcomeUnknownError(
        f"version {version} isn't in force after {timeout_seconds:g} s at "
        f"{names}; ask /readyz of these entries for the reason"
    )
