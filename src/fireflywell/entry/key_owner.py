"""Asks the incarnation that issued a key, or what it left in the store."""

import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.entry import forwarding
from fireflywell.entry import stored_results
from fireflywell.infrastructure import tables
from fireflywell.membership import links as links_lib
from fireflywell.membership import messages
from fireflywell.requests import classification
from fireflywell.requests import idempotency
from fireflywell.requests import key_ledger
from fireflywell.requests import outcomes


class KeyOwnerClient:
    """Serves requests whose keys another incarnation issued."""

    __slots__ = ("_clock", "_links", "_table")

    def __init__(
        self,
        links: links_lib.PeerLinks,
        table: tables.Table,
        clock: clock_lib.Clock,
    ) -> None:
        self._links = links
        self._table = table
        self._clock = clock

    async def serve(
        self,
        key: idempotency.BoundKey,
        incoming: classification.IncomingRequest,
    ) -> outcomes.Outcome:
        """Returns the outcome by the key's owner or its stored results.

        The request is never run here: only the owner knows whether it was.
        """
        if key.address == self._links.address:
            # An earlier incarnation at this address has ended.
            return await self._look_up(key, incoming, "the entry was restarted")
        request = forwarding.make_request(
            messages.ForwardKind.KEY_OWNER,
            key.incarnation,
            incoming,
            self._find_remaining(incoming),
        )
        try:
            reply = await self._links.forward(key.address, request)
        except (errors.PeerUnreachableError, errors.AnswerLostError) as error:
            return await self._look_up(key, incoming, str(error))
        match forwarding.read_reply(reply):
            case outcomes.Refused(
                status=forwarding.STATUS_OTHER_INCARNATION, reason=reason
            ):
                return await self._look_up(key, incoming, reason)
            case outcome:
                return outcome

    def _find_remaining(
        self, incoming: classification.IncomingRequest
    ) -> datetime.timedelta | None:
        try:
            milliseconds = classification.parse_deadline(incoming.headers)
        except ValueError:
            # The owner refuses the header, so that the refusal is final.
            return None
        if milliseconds is None:
            return None
        limit = datetime.timedelta(milliseconds=milliseconds)
        return incoming.received_at + limit - self._clock.monotonic()

    async def _look_up(
        self,
        key: idempotency.BoundKey,
        incoming: classification.IncomingRequest,
        problem: str,
    ) -> outcomes.Outcome:
        block = key.sequence // key_ledger.BLOCK_KEYS
        block_key = stored_results.make_block_key(key.incarnation, block)
        closing_key = stored_results.make_closing_key(key.incarnation)
        try:
            block_row, closing_row = await self._table.read(
                (block_key, closing_key)
            )
        except errors.PlatformError as error:
            return _make_unknown(f"{problem}; {error}")
        if block_row.version:
            for result in stored_results.decode_block(block_row.value):
                if result.sequence == key.sequence:
                    return _choose_stored(result, incoming)
        if closing_row.version:
            closing = stored_results.decode_closing_record(closing_row.value)
            if closing.surely_lacks(key.sequence):
                return outcomes.Refused(
                    503,
                    "the entry that issued the key stopped without running "
                    "the request; it was not run, get a new key",
                )
        return _make_unknown(problem)


def _choose_stored(
    result: key_ledger.KeptResult, incoming: classification.IncomingRequest
) -> outcomes.Outcome:
    # Without a digest the refusal was decided before the body was read.
    if result.digest and result.digest != incoming.compute_digest():
        return outcomes.make_other_body_refusal()
    return result.outcome


def _make_unknown(problem: str) -> outcomes.Unknown:
    return outcomes.Unknown(
        504,
        "the entry that issued the key can't tell the outcome and the store "
        f"doesn't hold it ({problem}); ask again with the same key",
    )
