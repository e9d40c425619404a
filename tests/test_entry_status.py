"""The status page of an entry, as operators and `bundle wait` read it."""

import json
import random
from typing import Any
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell.bundle import holder as holder_lib
from fireflywell.entry import assembly
from fireflywell.entry import homes as homes_lib
from fireflywell.entry import instance_table
from fireflywell.entry import pause_guard
from fireflywell.standins import table_store
from fireflywell.telemetry import metrics
from tests import entry_helpers

_INCARNATION = "5" * 32


class TwoHomes(homes_lib.SingleEntryHomes):
    """Homes of an entry that shares the instances with others."""

    def is_home(self, instance_id: str) -> bool:
        """Whether the instance is one of the first two."""
        return instance_id in ("quotes@vm1", "quotes@vm2")


async def read_status(parts: assembly.EntryParts) -> dict[str, Any]:
    """Returns the JSON document of the status page."""
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(message: Any) -> None:
        sent.append(message)

    scope = {"path": "/fireflywell/status", "method": "GET", "headers": []}
    await parts.application(scope, receive, send)
    assert sent[0]["status"] == 200
    document = json.loads(b"".join(item.get("body", b"") for item in sent[1:]))
    assert isinstance(document, dict)
    return document


def make_parts() -> assembly.EntryParts:
    """Returns an entry with four instances, two homes and one peer."""
    links = entry_helpers.FakeNetwork().connect("127.0.0.1:1", _INCARNATION)
    links.peers = (entry_helpers.make_peer("127.0.0.2:1", "6" * 32, 3),)
    return entry_helpers.make_entry(
        entry_helpers.make_bundle(18500),
        entry_helpers.make_view(*(f"127.0.0.{n}" for n in range(11, 15))),
        links=links,
        homes=TwoHomes(),
        clock=clock_lib.ManualClock(),
    )


def eject(table: instance_table.InstanceTable, instance_id: str) -> None:
    """Lets requests of one instance fail until it is ejected."""
    for entry in table.list_service("quotes"):
        if entry.instance.instance_id == instance_id:
            for _ in range(5):
                table.record_result(entry, False)


class StatusPageTest(unittest.TestCase):
    """What the page says in each state of the entry."""

    def test_serving_entry(self) -> None:
        """Fails if operators can't see slots, homes, ejections and peers."""
        parts = make_parts()
        eject(parts.instances, "quotes@vm2")
        status = anyio.run(read_status, parts)
        services, peers = status.pop("services"), status.pop("peers")
        self.assertEqual(
            status,
            {
                "bundle_version": 1,
                "ready": True,
                "reason": "",
                "leaving": False,
                "incarnation": _INCARNATION,
                "zone": "a",
            },
        )
        expected = {
            "service": "quotes",
            "queued": 0,
            "free_slots": 8,
            "homes": ["quotes@vm1", "quotes@vm2"],
            "ejected": ["quotes@vm2"],
        }
        self.assertEqual(services, [expected])
        self.assertEqual([item["address"] for item in peers], ["127.0.0.2:1"])
        self.assertEqual(peers[0]["state"], "alive")
        self.assertEqual(peers[0]["bundle_version"], 1)

    def test_stopping_entry(self) -> None:
        """Fails if a stopping entry looks ready to operators."""
        parts = make_parts()
        parts.application.stop_being_ready()
        status = anyio.run(read_status, parts)
        self.assertEqual(
            (status["ready"], status["leaving"], status["reason"]),
            (False, True, "the entry is stopping"),
        )

    def test_entry_without_bundle(self) -> None:
        """Fails if an entry that lacks a bundle doesn't say why."""
        holder = holder_lib.BundleHolder()
        holder.set_missing_reason("the store is down")
        clock = clock_lib.ManualClock()
        links = entry_helpers.FakeNetwork().connect("127.0.0.1:1", _INCARNATION)
        parts = assembly.assemble_entry(
            assembly.EntryContext(
                holder=holder,
                view=entry_helpers.make_view(),
                store=table_store.MemoryTable(),
                links=links,
                homes=homes_lib.SingleEntryHomes(),
                guard=pause_guard.NeverPaused(),
                cluster_key=entry_helpers.CLUSTER_KEY,
                zone="a",
                clock=clock,
                rng=random.Random(1),
                metrics=metrics.NullMetrics(),
            )
        )
        status = anyio.run(read_status, parts)
        self.assertEqual(
            (status["bundle_version"], status["ready"], status["reason"]),
            (0, False, "the store is down"),
        )
        self.assertEqual(status["services"], [])
