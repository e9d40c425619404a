"""Commands for VMs and the status of the whole system."""

import json
from typing import Any

from fireflywell import asgi
from fireflywell.coordination import lease_rows
from fireflywell.fleet import jobs
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records
from fireflywell.standins import faults
from tests import cli_world


class EntryPage:
    """Stands in for an entry's status page."""

    def __init__(self) -> None:
        self.document: dict[str, Any] = {
            "bundle_version": 1,
            "ready": True,
            "reason": "",
            "leaving": False,
            "incarnation": "5" * 32,
            "zone": "a",
            "services": [{"service": "bid", "ejected": []}],
            "peers": [{"address": "127.0.0.2:1", "state": "alive"}],
        }

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answers with the document."""
        assert scope["path"] == "/fireflywell/status"
        await asgi.read_body(receive, 1024)
        await asgi.send_json(send, 200, self.document)


class VmCommandTest(cli_world.CommandCase):
    """Commands that show VMs."""

    def setUp(self) -> None:
        """Puts a bundle and the rows of VMs into the store."""
        super().setUp()
        self.accept_bundle()
        self.put_vm(
            vm_records.VmRecord(
                "vm1",
                "bid",
                vm_records.VmPhase.DRAINING,
                move_id="m1",
                target_pool="claims",
                maintained_at=1_000_000_000,
            )
        )
        self.put_vm(vm_records.VmRecord("gone", "bid"))

    def test_list(self) -> None:
        """Fails if operators can't see where a VM is and what it does."""
        lines = self.run_command(0, "vm", "list").output.splitlines()
        self.assertEqual(
            lines,
            [
                "gone  bid  serving  maintained never  "
                "not listed by the platform",
                "vm1  bid  draining  to claims  move m1  "
                "maintained 2001-09-09T01:46:40+00:00  a/r1 live",
                "vm2  no pool  b/r1 live",
                "vm3  no pool  c/r1 live",
            ],
        )
        for options, names in (
            (("--pool", "bid"), ["gone", "vm1"]),
            (("--phase", "draining"), ["vm1"]),
            (("--pool", "claims"), []),
        ):
            result = self.run_command(0, "--json", "vm", "list", *options)
            found = [item["vm_id"] for item in json.loads(result.output)]
            self.assertEqual(found, names)

    def test_show(self) -> None:
        """Fails if a VM that doesn't exist is shown, or one isn't found."""
        result = self.run_command(0, "vm", "show", "vm1")
        self.assertIn("target pool claims", result.output)
        result = self.run_command(1, "vm", "show", "vm9")
        self.assertIn("'fireflywell vm list'", result.output)

    def test_pace(self) -> None:
        """Fails if a pace that can't be kept is called met, or not told."""
        result = self.run_command(1, "vm", "pace")
        self.assertIn("missed: ", result.output)
        self.assertIn("bid", result.output)
        self.put_row("vm/gone", None)
        self.put_row("vm/vm1", None)
        result = self.run_command(1, "vm", "pace")
        self.assertIn("no VM belongs to a pool yet", result.output)
        self.fill_pools()
        # Three racks of ten VMs, four at a time: nine steps of 600 s.
        result = self.run_command(0, "--json", "vm", "pace")
        self.assertEqual(json.loads(result.output)["needed_seconds"], 5400)
        result = self.run_command(0, "vm", "pace", "--time-per-vm", "60")
        self.assertIn("met: one pass over all VMs takes 0:09:00", result.output)

    def test_invalid_row(self) -> None:
        """Fails if an invalid row gives a traceback."""
        self.put_row("vm/vm2", "?")
        result = self.run_command(1, "vm", "list")
        self.assertIn("row vm/vm2 doesn't hold a VM", result.output)

    def test_every_command_has_help_with_an_example(self) -> None:
        """Fails if a command can't be learned from its help."""
        for arguments in (("vm", "list"), ("vm", "show"), ("vm", "pace"),
                          ("status",)):  # fmt: skip
            result = self.run_command(0, *arguments, "--help")
            self.assertIn("Example", result.output)


class StatusTest(cli_world.CommandCase):
    """The first line of the status and what makes it change."""

    def setUp(self) -> None:
        """Makes a system in which nothing needs attention."""
        super().setUp()
        self.entry = EntryPage()
        self.serve(self.entry, cli_world.ENTRY_PORT)
        self.accept_bundle()
        self.fill_pools()
        self.put_lease("127.0.0.1:1")

    def put_lease(self, holder: str) -> None:
        """Writes the lease row of the planner."""
        value = {"holder": holder, "token": 3, "renewals": 7}
        self.put_row(lease_rows.make_lease_key("planner"), json.dumps(value))

    def put_job(self, state: jobs.JobState) -> None:
        """Writes a job in a state."""
        spec = jobs.JobSpec("j1", "k", "t", "x", records.Resources(), 1)
        record = jobs.JobRecord(spec, state)
        self.put_row(jobs.make_job_key("0", "j1"), jobs.encode_job(record))

    def check_problem(self, expected: str) -> None:
        """Checks that exactly this problem is shown."""
        lines = self.run_command(1, "status").output.splitlines()
        self.assertEqual(lines[0], "needs attention: 1")
        self.assertTrue(lines[1].startswith("! "), lines)
        self.assertIn(expected, lines[1])

    def test_nothing_needs_attention(self) -> None:
        """Fails if a healthy system looks broken or isn't shown."""
        self.put_job(jobs.JobState.QUEUED)
        lines = self.run_command(0, "status").output.splitlines()
        self.assertEqual(lines[0], "ok: nothing needs attention")
        for expected in (
            "entry http://127.0.0.1:18511: ready, bundle 1",
            "bundle: version 1",
            "role planner: 127.0.0.1:1, token 3",
            "pool bid: 6 serving",
            "jobs queued: 1",
        ):
            self.assertIn(expected, lines)
        document = json.loads(self.run_command(0, "--json", "status").output)
        self.assertEqual(document["needs_attention"], [])

    def test_entry_problems(self) -> None:
        """Fails if a problem of an entry isn't in the first lines."""
        good = self.entry.document
        for change, expected in (
            ({"reason": "no bundle"}, "isn't ready: no bundle"),
            ({"bundle_version": 0}, "has bundle 0, accepted is 1"),
            ({"services": [{"ejected": ["bid@vm1"]}]}, "ejected bid@vm1"),
            (
                {"peers": [{"address": "127.0.0.2:1", "state": "suspect"}]},
                "doesn't hear 127.0.0.2:1 (suspect)",
            ),
        ):
            with self.subTest(expected):
                self.entry.document = {**good, **change}
                self.check_problem(expected)
        self.entry.document = {"unexpected": True}
        self.check_problem("doesn't answer")

    def test_entry_that_is_no_address(self) -> None:
        """Fails if a mistake in the settings is called a dead entry."""
        self.config = self.write(
            "bad.toml",
            f'platform_url = "http://127.0.0.1:{cli_world.PLATFORM_PORT}"\n'
            'entries = ["x"]\n',
        )
        result = self.run_command(2, "status")
        self.assertIn("like http://", result.output)

    def test_store_problems(self) -> None:
        """Fails if a problem that the store shows isn't in the first lines."""
        self.put_lease("")
        self.check_problem("nobody holds role planner")
        self.put_lease("127.0.0.1:1")
        for state in (jobs.JobState.UNKNOWN, jobs.JobState.SET_ASIDE):
            self.put_job(state)
            self.check_problem(f"1 jobs are {state}")
        self.put_job(jobs.JobState.DONE)
        self.put_vm(vm_records.VmRecord("lost", "bid"))
        self.check_problem("doesn't list lost")
        self.put_row("vm/lost", None)
        self.put_vm(vm_records.VmRecord("bid0", "claims"))
        self.check_problem("pool bid has 5 VMs of 6")

    def test_platform_down(self) -> None:
        """Fails if the entries aren't shown while the platform is down."""
        self.set_fault("/v1/", faults.Down())
        result = self.run_command(1, "status")
        self.assertIn("answered 503", result.output.splitlines()[1])
        self.assertIn("ready, bundle 1", result.output)
        self.assertIn("jobs: not known", result.output)
