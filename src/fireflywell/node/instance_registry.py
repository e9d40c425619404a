"""Caches the entries that workers write about themselves in the store."""

from collections.abc import Callable
import dataclasses

from fireflywell.coordination import row_store
from fireflywell.scheduling import workers as workers_lib
from fireflywell.telemetry import logs


class InstanceRegistry:
    """Holds the listed workers; entries that can't be decoded are left out."""

    __slots__ = (
        "_decode",
        "_instances",
        "_is_loaded",
        "_reported",
        "_versions",
    )

    def __init__(
        self, decode: Callable[[str, bytes], workers_lib.WorkerInstance]
    ) -> None:
        self._decode = decode
        self._instances: dict[str, workers_lib.WorkerInstance] = {}
        self._is_loaded = False
        # Version of the last applied row of each worker. An older row, which a
        # read of an earlier state returns, is ignored.
        self._versions: dict[str, int] = {}
        # Workers whose malformed entry was logged; each is logged once.
        self._reported: set[str] = set()

    @property
    def is_loaded(self) -> bool:
        """Whether the workers were read and are kept up to date."""
        return self._is_loaded

    def list_all(self) -> tuple[workers_lib.WorkerInstance, ...]:
        """Returns the workers of all services."""
        return tuple(self._instances.values())

    def find(self, instance_id: str) -> workers_lib.WorkerInstance | None:
        """Returns a listed worker of any service, or None."""
        return self._instances.get(instance_id)

    def list_instances(
        self, service: str
    ) -> tuple[workers_lib.WorkerInstance, ...]:
        """Returns the workers of a service."""
        return tuple(
            item for item in self._instances.values() if item.service == service
        )

    def has_successor(self, instance: workers_lib.WorkerInstance) -> bool:
        """Returns whether another worker runs on a worker's VM by now.

        A VM runs one worker at a time, and none writes its entry after its end.
        The order of the entries is that of the store, because the VM's date
        may jump.

        Args:
            instance: The last known entry of the worker.
        """
        return bool(instance.vm_id) and any(
            item.vm_id == instance.vm_id
            and item.instance_id != instance.instance_id
            and item.row_version > instance.row_version
            for item in self._instances.values()
        )

    def clear(self) -> None:
        """Drops all workers, for when nothing keeps them up to date."""
        self._instances = {}
        self._versions = {}
        self._is_loaded = False

    def replace_all(self, rows: tuple[row_store.Row, ...]) -> None:
        """Replaces all workers by those of a full read.

        Rows that are older than those applied before are ignored.
        """
        names = {row.row_key.key for row in rows}
        for instance_id in tuple(self._versions):
            if instance_id not in names:
                self._instances.pop(instance_id, None)
                del self._versions[instance_id]
        self._is_loaded = True
        self.apply_rows(rows)

    def apply_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        """Adds, replaces and removes workers by changed rows."""
        for row in rows:
            instance_id = row.row_key.key
            if row.version < self._versions.get(instance_id, 0):
                continue
            self._versions[instance_id] = row.version
            if row.is_removed:
                self._instances.pop(instance_id, None)
                continue
            try:
                self._instances[instance_id] = dataclasses.replace(
                    self._decode(instance_id, row.value),
                    row_version=row.version,
                )
            except Exception as error:
                # Other writers can place any bytes here. A fault of one entry
                # must not keep the others out.
                self._instances.pop(instance_id, None)
                if instance_id not in self._reported:
                    self._reported.add(instance_id)
                    logs.log_event(
                        "instance.unreadable",
                        worker=instance_id,
                        error_type=type(error).__name__,
                        error=str(error),
                    )
