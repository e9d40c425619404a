"""The watcher as a task, in an entry and with peers."""

import datetime
import pathlib
import random
import tempfile
import unittest

import anyio
import httpcore

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell.bundle import acceptance
from fireflywell.bundle import holder as holder_lib
from fireflywell.bundle import signatures
from fireflywell.bundle import watcher
from fireflywell.entry import entry_process
from fireflywell.entry import settings as entry_settings
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables
from fireflywell.infrastructure import transport as transport_lib
from fireflywell.membership import links
from fireflywell.membership import messages
from fireflywell.standins import machines
from fireflywell.standins import platform
from fireflywell.standins import table_store
from fireflywell.telemetry import metrics
from tests import bundle_samples
from tests import rollout_harness

_PLATFORM_PORT = 18211
_ENTRY_PORT = 18212


class SubscribedLinks(rollout_harness.RecordingLinks):
    """Links that hand messages to the subscriber."""

    def subscribe(self, handler: links.MessageHandler) -> None:
        """Keeps the handler."""
        self.handler = handler

    def deliver(self, address: str, message: messages.Message) -> None:
        """Calls the handler as the mesh does."""
        for peer in self.list_peers():
            if peer.address == address:
                self.handler(peer, message)


class WatcherTaskTest(unittest.TestCase):
    """The running task."""

    def test_peers_bring_a_bundle_while_the_store_is_down(self) -> None:
        """Fails if messages of peers aren't handled by the running task."""
        anyio.run(self._run_with_peers)

    async def _run_with_peers(self) -> None:
        clock = clock_lib.ManualClock()
        table = table_store.MemoryTable()
        table.set_down(True)
        objects = bundle_samples.MemoryObjects()
        objects.is_down = True
        holder = holder_lib.BundleHolder()
        peers = SubscribedLinks("p0", ("p1",))
        subject = watcher.BundleWatcher(
            holder,
            table,
            objects,
            peers,
            bundle_samples.ANCHOR,
            1,
            clock,
            random.Random(1),
        )
        signed = bundle_samples.make_signed(1, "")
        record = bundle_samples.extend(None, signed)
        text = signatures.encode_record(record)
        async with anyio.create_task_group() as group:
            group.start_soon(subject.run)
            await anyio.wait_all_tasks_blocked()
            peers.deliver("p1", messages.BundleOffer(1, text))
            await anyio.wait_all_tasks_blocked()
            request = messages.BundleRequest(signed.head.digest)
            self.assertEqual(peers.sent, [("p1", request)])
            # A second offer at once doesn't ask for the body again.
            peers.deliver("p1", messages.BundleOffer(1, text))
            peers.deliver("p1", messages.BundleBody(text, signed.body))
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(holder.version, 1)
            self.assertEqual(len(peers.sent), 1)
            # A peer that stays behind is offered the bundle and gets the
            # body; one that is behind for a moment polls the store itself.
            behind = messages.Heartbeat(1, 0, "", True, False)
            peers.deliver("p1", behind)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(len(peers.sent), 1)
            clock.advance(datetime.timedelta(seconds=2))
            peers.deliver("p1", behind)
            peers.deliver("p1", behind)
            peers.deliver("p1", request)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(
                peers.sent[1:],
                [
                    ("p1", messages.BundleOffer(1, text)),
                    ("p1", messages.BundleBody(text, signed.body)),
                ],
            )
            group.cancel_scope.cancel()


class EntryBundleTest(unittest.TestCase):
    """An entry beside the platform's stand-in."""

    def test_entry_becomes_ready_by_a_rollout(self) -> None:
        """Fails if an entry doesn't watch the bundle, or guesses one."""
        anyio.run(self._run_entry)

    async def _run_entry(self) -> None:
        clock = clock_lib.SystemClock()
        application = platform.PlatformApplication(
            clock, machines.Machines(clock, (), records.Resources())
        )
        listener = asgi.Listener(application, "127.0.0.1", _PLATFORM_PORT)
        stop = anyio.Event()
        with tempfile.TemporaryDirectory() as folder:
            settings = self.make_settings(pathlib.Path(folder))
            async with anyio.create_task_group() as group:
                group.start_soon(listener.run)
                await listener.wait_until_started()
                entry = entry_process.EntryProcess(settings, clock)
                group.start_soon(entry.run, stop)
                reason = await self.wait_for_status(503)
                self.assertIn("bundle", reason)
                await self.roll_out(settings, application)
                await self.wait_for_status(200)
                stop.set()
                listener.stop()

    def make_settings(
        self, folder: pathlib.Path
    ) -> entry_settings.EntrySettings:
        """Returns settings with a trust file."""
        trust = folder / "trust.toml"
        lines = ["threshold = 2"]
        for reviewer in bundle_samples.FIRST_SIGNING.reviewers:
            lines += [
                "[[reviewers]]",
                f'name = "{reviewer.name}"',
                f'public_key = "{reviewer.public_key}"',
            ]
        trust.write_text("\n".join(lines))
        key = folder / "cluster.key"
        key.write_text("0" * 64)
        return entry_settings.EntrySettings(
            address="127.0.0.1",
            port=_ENTRY_PORT,
            peer_port=_ENTRY_PORT + 1,
            zone="a",
            platform_url=f"http://127.0.0.1:{_PLATFORM_PORT}",
            cluster_key_file=str(key),
            trust_file=str(trust),
            balancer_lag=datetime.timedelta(),
        )

    async def roll_out(
        self,
        settings: entry_settings.EntrySettings,
        application: platform.PlatformApplication,
    ) -> None:
        """Accepts the first bundle."""
        clock = clock_lib.SystemClock()
        rng = random.Random(1)
        transport = transport_lib.PlatformTransport(
            settings.platform_url, clock, rng, metrics.NullMetrics()
        )
        signed = bundle_samples.make_signed(1, "")
        objects = bundle_samples.MemoryObjects()
        objects.content = application._objects
        await acceptance.accept_bundle(
            tables.TableClient(transport),
            objects,
            signed.body,
            signed.head,
            bundle_samples.ANCHOR,
            clock,
            rng,
        )
        await transport.close()

    async def wait_for_status(self, status: int) -> str:
        """Waits for an answer of /readyz and returns its reason."""
        url = f"http://127.0.0.1:{_ENTRY_PORT}/readyz"
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await anyio.sleep(0.05)
                try:
                    response = await pool.request("GET", url)
                except httpcore.ConnectError:
                    continue
                if response.status == status:
                    return response.content.decode()
