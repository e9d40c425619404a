"""Supervisor tree of the control process."""

import pathlib
import random

import anyio

from fireflywell import clock as clock_lib
from fireflywell import daemon
from fireflywell.bundle import holder as holder_lib
from fireflywell.bundle import model
from fireflywell.bundle import trust
from fireflywell.bundle import watcher as watcher_lib
from fireflywell.control import drain_tracker
from fireflywell.control import instance_prober
from fireflywell.control import job_store
from fireflywell.control import maintenance
from fireflywell.control import roles
from fireflywell.control import scheduler
from fireflywell.control import settings as control_settings
from fireflywell.control import task_tracker
from fireflywell.control import vm_move_runner
from fireflywell.control import vm_store
from fireflywell.coordination import leases
from fireflywell.fleet import demand
from fireflywell.fleet import instances as instances_lib
from fireflywell.fleet import view as view_lib
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import machines
from fireflywell.infrastructure import objects
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables
from fireflywell.infrastructure import transport as transport_lib
from fireflywell.membership import channel
from fireflywell.membership import mesh as mesh_lib
from fireflywell.membership import messages
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib
from fireflywell.telemetry import logs

# All jobs are in one shard. Each shard has a scheduler role of its own.
_SHARD = "0"


class ControlProcess:
    """Builds the parts of a control process and runs its supervisor tree."""

    __slots__ = (
        "_bundle_watcher",
        "_clock",
        "_fleet_watcher",
        "_holder",
        "_is_leaving",
        "_keepers",
        "_mesh",
        "_metrics",
        "_platform_transport",
        "_random",
        "_role_runners",
        "_settings",
        "_store_transport",
        "_table",
        "_task_tracker",
        "_view",
        "_workers",
    )

    def __init__(
        self,
        settings: control_settings.ControlSettings,
        clock: clock_lib.Clock,
    ) -> None:
        """Builds the parts; `run` starts them.

        Raises:
            SettingsError: A file named in the settings can't be used.
        """
        self._settings = settings
        self._clock = clock
        self._random = random.SystemRandom()
        self._metrics = daemon.make_metrics(settings.statsd, "control", clock)
        self._is_leaving = False
        # Each transport has its own backoff: VMs and workers must stay
        # reachable while the store is down, so that the leases of running tasks
        # are renewed.
        self._store_transport = self._make_transport()
        self._platform_transport = self._make_transport()
        self._table = tables.TableClient(self._store_transport)
        self._workers = machines.MachineClient(self._platform_transport)
        self._holder = holder_lib.BundleHolder()
        self._view = view_lib.FleetView()
        self._task_tracker = task_tracker.TaskTracker(self._workers, clock)
        self._mesh = self._make_mesh()
        self._fleet_watcher = view_lib.FleetWatcher(
            self._view, self._table, self._workers, clock, self._random
        )
        self._bundle_watcher = watcher_lib.BundleWatcher(
            self._holder,
            self._table,
            objects.ObjectClient(self._store_transport),
            self._mesh,
            trust.load_trust(pathlib.Path(settings.trust_file)),
            len(settings.peers),
            clock,
            self._random,
        )
        self._keepers = tuple(
            self._make_keeper(role)
            for role in ("maintenance", f"scheduler/{_SHARD}")
        )
        self._role_runners = (
            roles.RoleRunner(
                self._keepers[0],
                self._make_maintenance_role(self._keepers[0]).run,
            ),
            roles.RoleRunner(
                self._keepers[1],
                self._make_scheduler_role(self._keepers[1]).run,
            ),
        )

    async def run(self, stop: anyio.Event) -> None:
        """Runs the supervisor tree until `stop` is set.

        Raises:
            ChildFailedError: A child that the process can't run without has
                failed.
        """
        root = supervisor_lib.Supervisor(
            "control", self._clock, self._random, self._list_children()
        )
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(root.run)
                await stop.wait()
                self._is_leaving = True
                # Cancelling the lease keepers releases the leases, so that
                # another process can acquire them before they would expire.
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self._store_transport.close()
                await self._platform_transport.close()
        logs.log_event("control.stopped")

    def _list_children(self) -> tuple[supervisor_lib.Child, ...]:
        restart = policies.RestartWithBackoff()
        stop = policies.StopProcess()
        return (
            supervisor_lib.Child("membership", self._mesh.run, stop),
            supervisor_lib.Child("fleet", self._fleet_watcher.run, restart),
            supervisor_lib.Child("bundle", self._bundle_watcher.run, restart),
            *(
                supervisor_lib.Child(
                    f"lease/{keeper.role}", keeper.run, restart
                )
                for keeper in self._keepers
            ),
            supervisor_lib.Child(
                "maintenance", self._role_runners[0].run, restart
            ),
            supervisor_lib.Child(
                "scheduler", self._role_runners[1].run, restart
            ),
            supervisor_lib.Child("task_renewer", self._renew_tasks, restart),
            *daemon.list_metrics_children(self._metrics),
        )

    def _make_transport(self) -> transport_lib.PlatformTransport:
        return transport_lib.PlatformTransport(
            self._settings.platform_url,
            self._clock,
            self._random,
            self._metrics,
        )

    def _make_mesh(self) -> mesh_lib.Mesh:
        settings = self._settings
        identity = channel.make_identity(
            f"{settings.address}:{settings.peer_port}",
            settings.zone,
            messages.Role.CONTROL,
            daemon.read_cluster_key(settings.cluster_key_file),
        )
        peers = tuple(f"{peer.address}:{peer.port}" for peer in settings.peers)
        return mesh_lib.Mesh(
            identity, peers, self._read_status, self._clock, self._random
        )

    def _make_keeper(self, role: str) -> leases.LeaseKeeper:
        return leases.LeaseKeeper(
            role, self._mesh.address, self._table, self._clock, self._random
        )

    def _make_maintenance_role(
        self, keeper: leases.LeaseKeeper
    ) -> maintenance.MaintenanceRole:
        table = leases.FencedTable(self._table, keeper)
        context = vm_move_runner.VmMoveContext(
            store=vm_store.VmStore(table, self._clock, self._random),
            table=table,
            view=self._view,
            vm_list=self._workers,
            workers=self._workers,
            prober=instance_prober.InstanceProber(
                self._list_all_instances, self._clock
            ),
            tracker=drain_tracker.DrainTracker(self._mesh),
            list_instances=self._list_vm_instances,
            clock=self._clock,
        )
        return maintenance.MaintenanceRole(
            self._holder, context, self._metrics, self._list_demands
        )

    def _make_scheduler_role(
        self, keeper: leases.LeaseKeeper
    ) -> scheduler.SchedulerRole:
        table = leases.FencedTable(self._table, keeper)
        context = scheduler.SchedulerContext(
            store=job_store.JobStore(table, _SHARD, self._clock, self._random),
            tracker=self._task_tracker,
            workers=self._workers,
            list_assignments=lambda: self._view.assignments,
            clock=self._clock,
            metrics=self._metrics,
        )
        return scheduler.SchedulerRole(self._holder, context)

    async def _renew_tasks(self) -> None:
        renewer = task_tracker.TaskRenewer(self._workers, self._clock)
        await renewer.run(self._list_live_tasks, self._must_renew)

    async def _list_live_tasks(self) -> tuple[records.Task, ...]:
        if self._keepers[1].current is None:
            # The scheduler, which otherwise refreshes the tracker, doesn't
            # run in this process now.
            await self._task_tracker.refresh()
        return self._task_tracker.live_tasks

    def _must_renew(self) -> bool:
        """Whether this process renews the leases of running tasks now.

        The holder of the scheduler's lease renews. While the store is down no
        process can hold it, so all of them renew.
        """
        return (
            self._keepers[1].current is not None
            or self._store_transport.is_backing_off
        )

    def _list_all_instances(self) -> tuple[instances_lib.Instance, ...]:
        return self._view.list_instances(self._holder)

    def _list_vm_instances(
        self, record: vm_records.VmRecord
    ) -> tuple[instances_lib.Instance, ...]:
        bundle = self._holder.current
        if bundle is None:
            return ()
        return tuple(
            instances_lib.list_instances(bundle, self._view.vms, (record,))
        )

    def _list_demands(
        self, bundle: model.Bundle
    ) -> tuple[demand.PoolDemand, ...]:
        use_by_service: dict[str, demand.ServiceUse] = {}
        for peer in self._mesh.list_peers():
            for load in peer.loads:
                total = use_by_service.get(
                    load.service, demand.ServiceUse(load.service, 0, 0)
                )
                use_by_service[load.service] = demand.ServiceUse(
                    load.service,
                    total.free_slots + load.free_slots,
                    total.queued + load.queued,
                )
        return demand.measure_demand(
            bundle.services,
            self._list_all_instances(),
            tuple(use_by_service.values()),
        )

    def _read_status(self) -> mesh_lib.LocalStatus:
        return mesh_lib.LocalStatus(
            bundle_version=self._holder.version,
            bundle_digest=self._bundle_watcher.digest,
            is_ready=self._holder.current is not None and not self._is_leaving,
            is_leaving=self._is_leaving,
        )
