"""Forwarded requests: what is surely not sent, lost or answered."""

import unittest

import anyio
import anyio.abc

from fireflywell import errors
from fireflywell.membership import channel as channel_lib
from fireflywell.membership import mesh as mesh_lib
from fireflywell.membership import messages
from tests import membership_helpers as helpers


def make_request(incarnation: str, target: str) -> messages.ForwardRequest:
    """Returns a request whose reply names its target."""
    return messages.ForwardRequest(
        messages.ForwardKind.HOME,
        incarnation,
        "quotes",
        "POST",
        target,
        (messages.HeaderField("a", "b"),),
        b"body",
        0,
    )


async def _reply_slowly(
    request: messages.ForwardRequest,
) -> messages.ForwardReply:
    if request.target == "/slow":
        await anyio.sleep(0.3)
    return messages.ForwardReply(
        messages.OutcomeKind.ANSWERED,
        200,
        request.headers,
        request.target.encode(),
        "",
    )


class ForwardTest(unittest.TestCase):
    """Forwards requests to a peer on loopback."""

    def test_replies_reach_their_own_requests(self) -> None:
        """Fails if a late reply is taken for that of a later request."""
        anyio.run(self._exchange)

    async def _exchange(self) -> None:
        mesh = helpers.make_mesh(helpers.FIRST)
        peer = helpers.make_mesh(helpers.SECOND)
        peer.set_forward_handler(_reply_slowly)
        async with helpers.run_meshes(mesh, peer):
            for _ in range(3):
                # The caller of the slow request gives up before its reply.
                with anyio.move_on_after(0.1):
                    await self._forward(mesh, peer, "/slow")
                async with anyio.create_task_group() as group:
                    for number in range(5):
                        group.start_soon(self._check, mesh, peer, f"/{number}")
            sent_before = mesh.control_bytes_sent
            await self._check(mesh, peer, "/last")
            self.assertEqual(mesh.control_bytes_sent, sent_before)

    async def _forward(
        self, mesh: mesh_lib.Mesh, peer: mesh_lib.Mesh, target: str
    ) -> messages.ForwardReply:
        return await mesh.forward(
            peer.address, make_request(peer.incarnation, target)
        )

    async def _check(
        self, mesh: mesh_lib.Mesh, peer: mesh_lib.Mesh, target: str
    ) -> None:
        reply = await self._forward(mesh, peer, target)
        self.assertEqual(reply.body, target.encode())

    def test_unsent_requests_are_reported_as_unreachable(self) -> None:
        """Fails if a request that wasn't sent counts as perhaps run."""
        anyio.run(self._unsent)

    async def _unsent(self) -> None:
        mesh = helpers.make_mesh(helpers.FIRST)
        peer = helpers.make_mesh(helpers.SECOND)
        stranger = helpers.make_mesh(helpers.THIRD, key=bytes(32))
        handled: list[messages.ForwardRequest] = []

        async def note(
            request: messages.ForwardRequest,
        ) -> messages.ForwardReply:
            handled.append(request)
            return await _reply_slowly(request)

        peer.set_forward_handler(note)
        async with helpers.run_meshes(mesh, peer, stranger):
            for address, incarnation in (
                ("127.0.0.9:18309", "gone"),
                (helpers.SECOND, "former incarnation"),
                (helpers.THIRD, stranger.incarnation),
            ):
                with self.assertRaises(errors.PeerUnreachableError):
                    await mesh.forward(address, make_request(incarnation, "/"))
        self.assertEqual(handled, [])

    def test_sent_requests_are_reported_as_lost(self) -> None:
        """Fails if a request that may have run counts as not sent."""
        anyio.run(self._lost)

    async def _lost(self) -> None:
        identity = helpers.make_identity(helpers.SECOND)
        factory = channel_lib.ChannelFactory(identity)

        async def cut_after_request(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                channel, _ = await factory.accept(stream)
                await channel.read()

        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.2", local_port=18302
        )
        mesh = helpers.make_mesh(helpers.FIRST, ())
        request = make_request(identity.hello.incarnation, "/")
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, cut_after_request)
            for _ in range(2):
                with self.assertRaises(errors.AnswerLostError):
                    await mesh.forward(helpers.SECOND, request)
            group.cancel_scope.cancel()

    def test_restarted_peer_is_dialled_again(self) -> None:
        """Fails if a kept connection to a dead process loses a request."""
        anyio.run(self._restart)

    async def _restart(self) -> None:
        mesh = helpers.make_mesh(helpers.FIRST)
        async with helpers.run_meshes(mesh):
            for _ in range(2):
                peer = helpers.make_mesh(helpers.SECOND)
                peer.set_forward_handler(_reply_slowly)
                async with helpers.run_meshes(peer):
                    await self._check(mesh, peer, "/first")
                    await self._check(mesh, peer, "/second")
