"""Supervisor tree of the entry process and its graceful stop."""

import datetime
import pathlib
import random

import anyio

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell import daemon
from fireflywell.bundle import holder as holder_lib
from fireflywell.bundle import trust
from fireflywell.bundle import watcher as watcher_lib
from fireflywell.entry import assembly
from fireflywell.entry import drain_confirmer
from fireflywell.entry import home_manager
from fireflywell.entry import instance_status
from fireflywell.entry import pause_guard
from fireflywell.entry import settings as entry_settings
from fireflywell.fleet import view as view_lib
from fireflywell.infrastructure import machines
from fireflywell.infrastructure import objects
from fireflywell.infrastructure import tables
from fireflywell.infrastructure import transport as transport_lib
from fireflywell.membership import channel
from fireflywell.membership import links as links_lib
from fireflywell.membership import mesh as mesh_lib
from fireflywell.membership import messages
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib
from fireflywell.telemetry import logs

# Without a successor a home stays with its entry until the process ends.
_HANDOVER_TIMEOUT = datetime.timedelta(seconds=10)


class EntryProcess:
    """Everything that one entry runs."""

    __slots__ = (
        "_bundle_watcher",
        "_clock",
        "_fleet_watcher",
        "_guard",
        "_holder",
        "_homes",
        "_is_leaving",
        "_mesh",
        "_metrics",
        "_parts",
        "_random",
        "_settings",
        "_transport",
    )

    def __init__(
        self, settings: entry_settings.EntrySettings, clock: clock_lib.Clock
    ) -> None:
        """Builds the parts.

        Raises:
            SettingsError: A file named in the settings can't be used.
        """
        self._settings = settings
        self._clock = clock
        self._random = random.SystemRandom()
        self._metrics = daemon.make_metrics(settings.statsd, "entry", clock)
        self._is_leaving = False
        self._transport = transport_lib.PlatformTransport(
            settings.platform_url, clock, self._random, self._metrics
        )
        self._holder = holder_lib.BundleHolder()
        cluster_key = daemon.read_cluster_key(settings.cluster_key_file)
        self._mesh = self._make_mesh(cluster_key)
        self._build(cluster_key)

    async def run(self, stop: anyio.Event) -> None:
        """Runs the supervisor tree until `stop` is set and work is finished.

        Raises:
            ChildFailedError: A part without which the entry is of no use
                failed.
        """
        settings = self._settings
        listener = asgi.Listener(
            self._parts.application, settings.address, settings.port
        )
        root = supervisor_lib.Supervisor(
            "entry", self._clock, self._random, self._list_children(listener)
        )
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(root.run)
                await stop.wait()
                await self._stop(listener)
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self._parts.instances.close()
                await self._transport.close()

    async def _stop(self, listener: asgi.Listener) -> None:
        self._is_leaving = True
        self._parts.application.stop_being_ready()
        await self._clock.sleep(self._settings.balancer_lag)
        listener.stop()
        await listener.wait_until_stopped()
        await assembly.drain_entry(
            self._parts,
            self._hand_over_homes,
            self._clock,
            self._settings.stop_timeout,
        )
        logs.log_event("entry.stopped")

    async def _hand_over_homes(self) -> None:
        if not any(_can_be_successor(peer) for peer in self._mesh.list_peers()):
            logs.log_event("homes.no_successor")
            return
        with anyio.move_on_after(_HANDOVER_TIMEOUT.total_seconds()) as scope:
            await self._homes.hand_over_all()
        if scope.cancelled_caught:
            logs.log_event("homes.handover_incomplete")

    def _make_mesh(self, cluster_key: bytes) -> mesh_lib.Mesh:
        settings = self._settings
        identity = channel.make_identity(
            f"{settings.address}:{settings.peer_port}",
            settings.zone,
            messages.Role.ENTRY,
            cluster_key,
        )
        peers = tuple(f"{peer.address}:{peer.port}" for peer in settings.peers)
        return mesh_lib.Mesh(
            identity, peers, self._read_status, self._clock, self._random
        )

    def _build(self, cluster_key: bytes) -> None:
        clock, rng = self._clock, self._random
        store = tables.TableClient(self._transport)
        vm_list = machines.MachineClient(self._transport)
        view = view_lib.FleetView()
        self._fleet_watcher = view_lib.FleetWatcher(
            view, store, vm_list, clock, rng
        )
        self._bundle_watcher = watcher_lib.BundleWatcher(
            self._holder,
            store,
            objects.ObjectClient(self._transport),
            self._mesh,
            trust.load_trust(pathlib.Path(self._settings.trust_file)),
            len(self._settings.peers),
            clock,
            rng,
        )
        self._homes = home_manager.HomeManager(
            home_manager.HomeManagerDependencies(
                links=self._mesh,
                table=store,
                vm_list=vm_list,
                view=view,
                holder=self._holder,
                status=instance_status.HttpStatusReader(),
                count_in_progress=self._count_in_progress,
            ),
            self._settings.zone,
            clock,
            rng,
        )
        self._guard = pause_guard.PauseGuard(self._refresh, self._mesh, clock)
        self._parts = assembly.assemble_entry(
            assembly.EntryContext(
                holder=self._holder,
                view=view,
                store=store,
                links=self._mesh,
                homes=self._homes,
                guard=self._guard,
                cluster_key=cluster_key,
                zone=self._settings.zone,
                clock=clock,
                rng=rng,
                metrics=self._metrics,
            )
        )
        drain_confirmer.DrainConfirmer(
            self._mesh, view, self._parts.instances.count_on_vm
        )

    def _list_children(
        self, listener: asgi.Listener
    ) -> tuple[supervisor_lib.Child, ...]:
        restart = policies.RestartWithBackoff()
        stop = policies.StopProcess()
        return (
            supervisor_lib.Child("listener", listener.run, stop),
            supervisor_lib.Child("membership", self._mesh.run, stop),
            supervisor_lib.Child("homes", self._keep_homes, restart),
            supervisor_lib.Child("fleet", self._fleet_watcher.run, restart),
            supervisor_lib.Child("bundle", self._bundle_watcher.run, restart),
            supervisor_lib.Child("pause_guard", self._guard.run, restart),
            *self._parts.list_children(),
            *daemon.list_metrics_children(self._metrics),
        )

    async def _keep_homes(self) -> None:
        # Rows of former processes at this address are taken over because
        # nobody else listens here.
        await self._mesh.wait_until_started()
        await self._homes.run()

    async def _refresh(self) -> None:
        await self._bundle_watcher.refresh()
        await self._fleet_watcher.refresh()

    def _count_in_progress(self, instance_id: str) -> int:
        return self._parts.instances.count_in_progress(instance_id)

    def _read_status(self) -> mesh_lib.LocalStatus:
        return mesh_lib.LocalStatus(
            bundle_version=self._holder.version,
            bundle_digest=self._bundle_watcher.digest,
            is_ready=self._holder.current is not None and not self._is_leaving,
            is_leaving=self._is_leaving,
            loads=self._parts.dispatcher.list_loads(),
        )


def _can_be_successor(peer: links_lib.PeerView) -> bool:
    return (
        peer.role is messages.Role.ENTRY
        and peer.state is links_lib.PeerState.ALIVE
        and not peer.is_leaving
    )
