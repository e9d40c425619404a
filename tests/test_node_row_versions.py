"""Caches of rows that get older rows after newer ones."""

import json
import unittest

import msgpack

from fireflywell.coordination import row_store
from fireflywell.node import fleet_cache
from fireflywell.node import instance_registry
from fireflywell.node import maintenance_waves
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.platform import instances
from fireflywell.platform import waves
from fireflywell.scheduling import maintenance
from tests import node_world

_FLEET = ownership.FLEET_SERVICE


def _make_entry(
    version: int, rack: str = "r1-1", *, is_removed: bool = False
) -> row_store.Row:
    instance = node_world.make_instance("w1", rack)
    value = b"" if is_removed else node_world.encode_instance(instance)
    row_key = row_store.RowKey(tables.INSTANCES, "", "w1")
    return row_store.Row(row_key, value, version, is_removed)


class InstanceRegistryTest(unittest.TestCase):
    """Entries of workers."""

    def setUp(self) -> None:
        """Makes a registry with the second entry of a worker."""
        self.registry = instance_registry.InstanceRegistry(
            instances.decode_instance
        )
        self.registry.replace_all((_make_entry(5, "new"),))

    def test_older_entry_does_not_replace_a_newer_one(self) -> None:
        """Fails if a worker's session goes back to its former address."""
        self.registry.apply_rows((_make_entry(4, "old"),))
        self.assertEqual(self._list_racks(), ["new"])
        self.registry.replace_all((_make_entry(4, "old"),))
        self.assertEqual(self._list_racks(), ["new"])
        self.registry.apply_rows((_make_entry(6, "newest"),))
        self.assertEqual(self._list_racks(), ["newest"])

    def test_older_entry_does_not_bring_a_removed_worker_back(self) -> None:
        """Fails if a worker that is gone is listed again."""
        self.registry.apply_rows((_make_entry(6, is_removed=True),))
        self.registry.apply_rows((_make_entry(5),))
        self.assertEqual(self._list_racks(), [])
        self.registry.replace_all((_make_entry(5),))
        self.assertEqual(self._list_racks(), [])
        self.registry.apply_rows((_make_entry(7, "newest"),))
        self.assertEqual(self._list_racks(), ["newest"])

    def test_older_removal_does_not_remove_a_newer_entry(self) -> None:
        """Fails if a worker that is listed again counts as gone."""
        self.registry.apply_rows((_make_entry(4, is_removed=True),))
        self.assertEqual(self._list_racks(), ["new"])

    def _list_racks(self) -> list[str]:
        return [item.labels[-1] for item in self.registry.list_all()]


class FleetCacheTest(unittest.TestCase):
    """Rows of the fleet's partition."""

    def test_older_list_of_spare_vms_is_ignored(self) -> None:
        """Fails if a VM that left the spare pool belongs to it again."""
        cache = fleet_cache.FleetCache()
        row_key = fleet_cache.locate_spare_pool_vms(_FLEET)
        newer = row_store.Row(row_key, msgpack.packb(["m-1"]), 5)
        older = row_store.Row(row_key, msgpack.packb(["m-1", "m-2"]), 4)
        cache.load_rows((newer,))
        cache.load_rows((older,))
        self.assertEqual(cache.spare_pool_vms, frozenset({"m-1"}))

    def test_older_row_does_not_bring_a_removed_request_back(self) -> None:
        """Fails if a VM is drained again for a request that is gone."""
        cache = fleet_cache.FleetCache()
        row_key = fleet_cache.locate_drain_request(_FLEET, "m-1")
        request = maintenance.DrainRequest(
            "m-1", 1, maintenance.DrainPhase.DUE, 1.0, 1
        )
        row = row_store.Row(
            row_key, fleet_cache.encode_drain_request(request), 5
        )
        cache.load_rows((row,))
        cache.apply_rows((row_store.Row(row_key, b"", 6, True),))
        cache.load_rows((row,))
        self.assertIsNone(cache.find("m-1"))
        self.assertEqual(cache.get_version("m-1"), 0)


class MaintenanceWavesTest(unittest.TestCase):
    """Rows of waves."""

    def test_older_row_does_not_replace_a_changed_wave(self) -> None:
        """Fails if a wave has the VMs again that operators took out of it."""
        held = maintenance_waves.MaintenanceWaves(
            waves.decode_wave,
            node_world.NodeWorld().store,
        )
        held.load_rows((_make_wave(5, "m-1"),))
        held.apply_rows((_make_wave(4, "m-1", "m-2"),))
        self.assertEqual(held.waves[1].vm_ids, ("m-1",))
        held.apply_rows((_make_wave(6, "m-1", "m-3"),))
        self.assertEqual(held.waves[1].vm_ids, ("m-1", "m-3"))


def _make_wave(version: int, *vm_ids: str) -> row_store.Row:
    document = {
        "wave": 1,
        "machines": vm_ids,
        "duration_s": 60,
        "max_count": 1,
    }
    row_key = row_store.RowKey(tables.OPERATOR, "", "wave/1")
    return row_store.Row(row_key, json.dumps(document).encode(), version)


if __name__ == "__main__":
    unittest.main()
