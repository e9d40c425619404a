"""Asks entries which bundle version is in force."""

import dataclasses
import datetime

import anyio
import click
import httpcore

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.cli import entry_pages
from fireflywell.supervision import supervisor as supervisor_lib

_ASK_INTERVAL = datetime.timedelta(milliseconds=200)
# Shorter waits end before a reader would wonder.
_QUIET_TIME = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryReport:
    """What one entry answered; version -1 if it didn't."""

    address: str
    version: int


async def wait_for_version(
    version: int,
    addresses: tuple[str, ...],
    timeout_seconds: float,
    clock: clock_lib.Clock,
) -> tuple[EntryReport, ...]:
    """Asks entries until all have a version, or a higher one, in force.

    Args:
        version: Version to wait for.
        addresses: Base addresses of the entries.
        timeout_seconds: How long to wait.
        clock: Measures the wait.

    Raises:
        OutcomeUnknownError: Some didn't in time; the message names them.
    """
    started = clock.monotonic()
    last_note = started
    async with httpcore.AsyncConnectionPool() as pool:
        while True:
            reports = await _ask_all(pool, addresses)
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


async def _ask_all(
    pool: httpcore.AsyncConnectionPool, addresses: tuple[str, ...]
) -> tuple[EntryReport, ...]:
    """Asks all entries at once, so that dead ones don't add up."""
    reports: list[EntryReport] = []

    async def ask(address: str) -> None:
        reports.append(await _ask(pool, address))

    with supervisor_lib.raise_single_error():
        async with anyio.create_task_group() as group:
            for address in addresses:
                group.start_soon(ask, address)
    return tuple(sorted(reports, key=lambda item: item.address))


async def _ask(pool: httpcore.AsyncConnectionPool, address: str) -> EntryReport:
    document = await entry_pages.fetch_entry_status(pool, address)
    try:
        version = -1 if document is None else int(document["bundle_version"])
    except (KeyError, TypeError, ValueError):
        version = -1
    return EntryReport(address, version)


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
