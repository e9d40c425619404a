"""Links between processes on loopback, with broken and hostile peers."""

import unittest
from unittest import mock

import anyio
import anyio.abc

from fireflywell import errors
from fireflywell.membership import channel as channel_lib
from fireflywell.membership import codec
from fireflywell.membership import frames as frames_lib
from fireflywell.membership import handshake
from fireflywell.membership import links
from fireflywell.membership import mesh as mesh_lib
from fireflywell.membership import messages
from tests import membership_helpers as helpers


class StrangerTest(unittest.TestCase):
    """Tries to get in without the cluster key."""

    def test_wrong_key_is_let_in_nowhere(self) -> None:
        """Fails if a process with another key is admitted on either side."""
        anyio.run(self._wrong_key)

    async def _wrong_key(self) -> None:
        mesh = helpers.make_mesh(helpers.FIRST)
        stranger = helpers.make_mesh(helpers.SECOND, key=bytes(32))
        friend = helpers.make_mesh(helpers.THIRD)
        async with helpers.run_meshes(mesh, stranger, friend):
            await helpers.wait_until(
                lambda: bool(mesh.connected_peers and friend.list_peers()),
                "the friend's link",
            )
            await anyio.sleep(0.5)
            self.assertEqual(mesh.connected_peers, (helpers.THIRD,))
            self.assertEqual(stranger.list_peers(), ())
            addresses = [peer.address for peer in mesh.list_peers()]
            self.assertEqual(addresses, [helpers.THIRD])

    def test_replayed_connection_is_refused(self) -> None:
        """Fails if the recorded bytes of a valid connection work again."""
        anyio.run(self._replay)

    async def _replay(self) -> None:
        mesh = helpers.make_mesh(helpers.FIRST)
        receiver = helpers.Receiver(mesh)
        async with helpers.run_meshes(mesh):
            async with helpers.connect_raw(
                helpers.FIRST, helpers.SECOND
            ) as peer:
                await peer.prove(helpers.FIRST)
                await peer.send_message(helpers.DRAIN)
                await helpers.wait_until(
                    lambda: receiver.received == [helpers.DRAIN], "the drain"
                )
                recorded = tuple(peer.sent)
            async with helpers.connect_raw(
                helpers.FIRST, helpers.SECOND
            ) as again:
                for payload in recorded:
                    await again.send(payload)
                await again.wait_until_closed()
        self.assertEqual(receiver.received, [helpers.DRAIN])

    def test_reflected_proof_is_refused(self) -> None:
        """Fails if a process accepts its own proof sent back to it."""
        anyio.run(self._reflect)

    async def _reflect(self) -> None:
        mesh = helpers.make_mesh(helpers.FIRST)
        async with (
            helpers.run_meshes(mesh),
            helpers.connect_raw(
                helpers.FIRST, helpers.SECOND, bytes(32)
            ) as peer,
        ):
            await peer.open(helpers.FIRST)
            await peer.send(await peer.frames.read_frame(4096))
            await peer.wait_until_closed()
            self.assertEqual(mesh.list_peers(), ())

    def test_claim_of_another_address_is_refused(self) -> None:
        """Fails if a process may pose as the successor at another VM."""
        anyio.run(self._claim)

    async def _claim(self) -> None:
        mesh = helpers.make_mesh(helpers.FIRST)
        async with helpers.run_meshes(mesh):
            stream = await anyio.connect_tcp(
                "127.0.0.1", 18301, local_host="127.0.0.3"
            )
            async with stream:
                identity = helpers.make_identity(helpers.SECOND)
                peer = helpers.RawPeer(stream, identity)
                await peer.prove(helpers.FIRST)
                await peer.wait_until_closed()
            self.assertEqual(mesh.list_peers(), ())

    def test_repeated_frame_closes_the_connection(self) -> None:
        """Fails if a frame injected on the path is delivered."""
        anyio.run(self._repeat_frame)

    async def _repeat_frame(self) -> None:
        mesh = helpers.make_mesh(helpers.FIRST)
        receiver = helpers.Receiver(mesh)
        async with (
            helpers.run_meshes(mesh),
            helpers.connect_raw(helpers.FIRST, helpers.SECOND) as peer,
        ):
            await peer.prove(helpers.FIRST)
            await peer.send_message(helpers.DRAIN)
            await peer.send(peer.sent[-1])
            await peer.wait_until_closed()
        self.assertEqual(receiver.received, [helpers.DRAIN])

    def test_oversized_opening_is_refused(self) -> None:
        """Fails if a stranger can make a process keep large frames."""
        anyio.run(self._oversized)

    async def _oversized(self) -> None:
        mesh = helpers.make_mesh(helpers.FIRST)
        async with (
            helpers.run_meshes(mesh),
            helpers.connect_raw(helpers.FIRST, helpers.SECOND) as peer,
        ):
            await peer.send(bytes(codec.HANDSHAKE_FRAME_LIMIT_BYTES + 1))
            await peer.wait_until_closed()


class BrokenPeerTest(unittest.TestCase):
    """Peers that send garbage, freeze or return as another process."""

    def test_garbled_frame_closes_that_connection_only(self) -> None:
        """Fails if one bad frame disturbs another peer's link."""
        anyio.run(self._garble)

    async def _garble(self) -> None:
        mesh = helpers.make_mesh(helpers.FIRST)
        friend = helpers.make_mesh(helpers.THIRD)
        receiver = helpers.Receiver(mesh)
        async with helpers.run_meshes(mesh, friend):
            await helpers.wait_until(
                lambda: helpers.FIRST in friend.connected_peers, "the link"
            )
            async with helpers.connect_raw(
                helpers.FIRST, helpers.SECOND
            ) as peer:
                await peer.prove(helpers.FIRST)
                assert peer.authenticator is not None
                garbage = b"\xc1garbage"
                await peer.send(
                    peer.authenticator.compute_tag(garbage) + garbage
                )
                await peer.wait_until_closed()
            sent_before = friend.control_bytes_sent
            friend.broadcast(helpers.DRAIN)
            await helpers.wait_until(
                lambda: helpers.DRAIN in receiver.received, "the drain"
            )
            # A link that was opened again would have sent its opening.
            self.assertLess(friend.control_bytes_sent - sent_before, 150)

    def test_frozen_peer_blocks_no_other(self) -> None:
        """Fails if a peer that reads nothing delays messages to others."""
        with mock.patch.object(frames_lib, "WRITE_SECONDS", 0.5):
            anyio.run(self._freeze)

    async def _freeze(self) -> None:
        mesh = helpers.make_mesh(helpers.FIRST)
        friend = helpers.make_mesh(helpers.THIRD)
        receiver = helpers.Receiver(friend)
        frozen = channel_lib.ChannelFactory(
            helpers.make_identity(helpers.SECOND)
        )
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.2", local_port=18302
        )

        async def accept_only(stream: anyio.abc.SocketStream) -> None:
            await frozen.accept(stream)
            await anyio.sleep_forever()

        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, accept_only)
            async with helpers.run_meshes(mesh, friend):
                await helpers.wait_until(
                    lambda: len(mesh.connected_peers) == 2, "both links"
                )
                for number in range(6):
                    body = bytes([number]) * (4 << 20)
                    mesh.broadcast(messages.BundleBody("head", body))
                mesh.broadcast(helpers.DRAIN)
                await helpers.wait_until(
                    lambda: receiver.count(messages.DrainNotice) == 1,
                    "the drain behind the bodies",
                )
                self.assertEqual(receiver.count(messages.BundleBody), 6)
                await helpers.wait_until(
                    lambda: mesh.connected_peers == (helpers.THIRD,),
                    "the write timeout of the frozen peer's link",
                )
            group.cancel_scope.cancel()

    def test_restarted_peer_is_a_new_incarnation(self) -> None:
        """Fails if a restarted peer isn't found or its former self stays."""
        anyio.run(self._restart)

    async def _restart(self) -> None:
        mesh = helpers.make_mesh(helpers.FIRST)
        former = helpers.make_mesh(helpers.SECOND)
        latter = helpers.make_mesh(helpers.SECOND)
        receiver = helpers.Receiver(latter)
        async with helpers.run_meshes(mesh):
            async with helpers.run_meshes(former):
                await helpers.wait_until(
                    lambda: bool(mesh.connected_peers), "the former's link"
                )
                (view,) = mesh.list_peers()
                self.assertEqual(view.incarnation, former.incarnation)
            async with helpers.run_meshes(latter):

                def is_reached() -> bool:
                    mesh.send(helpers.SECOND, helpers.DRAIN)
                    return helpers.DRAIN in receiver.received

                await helpers.wait_until(is_reached, "a drain after restart")
                (view,) = mesh.list_peers()
                self.assertEqual(view.incarnation, latter.incarnation)

    def test_second_process_at_an_address_does_not_start(self) -> None:
        """Fails if two processes can listen at one address.

        A new incarnation would then be no proof of the former's death.
        """
        anyio.run(self._double_bind)

    async def _double_bind(self) -> None:
        async with helpers.run_meshes(helpers.make_mesh(helpers.FIRST)):
            with self.assertRaises(errors.SettingsError):
                await helpers.make_mesh(helpers.FIRST).run()

    def test_heartbeat_carries_the_status(self) -> None:
        """Fails if loads, readiness or bundle don't reach the peers."""
        anyio.run(self._status)

    async def _status(self) -> None:
        loads = (messages.ServiceLoad("quotes", 5, 2),)
        status = mesh_lib.LocalStatus(3, "ab" * 32, True, False, loads)
        mesh = helpers.make_mesh(helpers.FIRST)
        peer = helpers.make_mesh(helpers.SECOND, status=status)
        async with helpers.run_meshes(mesh, peer):
            await helpers.wait_until(
                lambda: any(view.loads for view in mesh.list_peers()),
                "the load report",
            )
            (view,) = mesh.list_peers()
            self.assertEqual(view.loads, loads)
            self.assertEqual((view.bundle_version, view.is_ready), (3, True))
            self.assertIs(view.state, links.PeerState.ALIVE)


class KeyTest(unittest.TestCase):
    """Reads the cluster key."""

    def test_bad_key_is_refused(self) -> None:
        """Fails if a process starts with a short or empty key."""
        for text in ("", "ab" * 31, "zz" * 32):
            with self.assertRaises(errors.SettingsError):
                handshake.parse_cluster_key(text, "key file")
