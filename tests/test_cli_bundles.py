"""The operators' command line, against the platform's stand-in."""

import contextlib
import datetime
import io
import json
import pathlib
import tempfile
import threading
import unittest

import anyio
from click import testing

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.cli import main
from fireflywell.cli import rollout_wait
from fireflywell.infrastructure import records
from fireflywell.standins import faults
from fireflywell.standins import machines
from fireflywell.standins import platform
from tests import bundle_samples

_PLATFORM_PORT = 18201
_ENTRY_PORT = 18202
_URL = f"http://127.0.0.1:{_PLATFORM_PORT}"
_EXAMPLE = (bundle_samples.ROOT / "examples" / "atlas.toml").read_text()


class StatusApplication:
    """Stands in for an entry's status page."""

    def __init__(self) -> None:
        self.version = 1

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answers with the version."""
        assert scope["path"] == "/fireflywell/status"
        await asgi.read_body(receive, 1024)
        await asgi.send_json(send, 200, {"bundle_version": self.version})


class SkippingClock(clock_lib.ManualClock):
    """A clock whose sleeps take no time."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Moves on at once."""
        self.advance(duration)


class ServerThread:
    """Serves the stand-ins on an event loop of their own."""

    def __init__(self) -> None:
        clock = clock_lib.SystemClock()
        self.status = StatusApplication()
        self.platform = platform.PlatformApplication(
            clock, machines.Machines(clock, (), records.Resources())
        )
        self._listeners = [
            asgi.Listener(self.platform, "127.0.0.1", _PLATFORM_PORT),
            asgi.Listener(self.status, "127.0.0.1", _ENTRY_PORT),
        ]
        self._started = threading.Event()
        self._thread = threading.Thread(target=lambda: anyio.run(self._serve))

    def start(self) -> None:
        """Starts and waits until the addresses accept connections."""
        self._thread.start()
        self._started.wait()

    def stop(self) -> None:
        """Ends the listeners."""
        for listener in self._listeners:
            listener.stop()
        self._thread.join()

    async def _serve(self) -> None:
        try:
            async with anyio.create_task_group() as group:
                for listener in self._listeners:
                    group.start_soon(listener.run)
                    await listener.wait_until_started()
                self._started.set()
        finally:
            # A port that is taken must fail the test, not stop it for ever.
            self._started.set()


class CommandTest(unittest.TestCase):
    """Commands from keys to a bundle in force."""

    def setUp(self) -> None:
        """Starts the stand-ins and makes keys, trust file and document."""
        self.server = ServerThread()
        self.server.start()
        self.addCleanup(self.server.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        reviewers = "".join(
            f'[[reviewers]]\nname = "{item.name}"\n'
            f'public_key = "{item.public_key}"\n'
            for item in bundle_samples.FIRST_SIGNING.reviewers
        )
        self.write("trust.toml", "threshold = 2\n" + reviewers)
        for name in ("ann", "ben"):
            key = bundle_samples.make_private_key(name)
            self.write(f"{name}.key", key + "\n")
        trust = self.folder / "trust.toml"
        self.write(
            "ops.toml",
            f'platform_url = "{_URL}"\ntrust_file = "{trust}"\n'
            f'entries = ["http://127.0.0.1:{_ENTRY_PORT}"]\n',
        )
        self.write("atlas.toml", _EXAMPLE)

    def write(self, name: str, text: str) -> str:
        """Writes a file and returns its path."""
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def path(self, name: str) -> str:
        """Returns the path of a file."""
        return str(self.folder / name)

    def run_command(self, code: int, *arguments: str) -> testing.Result:
        """Runs a command and checks its exit code."""
        result = testing.CliRunner().invoke(
            main.main, ["--config", self.path("ops.toml"), *arguments]
        )
        self.assertEqual(result.exit_code, code, result.output)
        self.assertNotIn("Traceback", result.output)
        return result

    def sign_and_roll_out(self, code: int, name: str) -> testing.Result:
        """Lets both reviewers sign and rolls out."""
        options = []
        for reviewer in ("ann", "ben"):
            self.run_command(
                0,
                "bundle",
                "sign",
                self.path(name),
                "--key",
                self.path(f"{reviewer}.key"),
            )
            options += ["--signature", self.path(f"{name}.{reviewer}.sig")]
        return self.run_command(
            code, "bundle", "rollout", self.path(name), *options
        )

    def test_from_file_to_force(self) -> None:
        """Fails if an operator can't bring a bundle into force."""
        result = self.run_command(0, "bundle", "show")
        self.assertIn("no bundle is accepted yet", result.output)
        result = self.run_command(
            0, "bundle", "review", self.path("atlas.toml")
        )
        self.assertIn("pools[bid]: added", result.output)
        result = self.sign_and_roll_out(0, "atlas.toml")
        self.assertIn("version 1 is accepted", result.output)
        shown = self.run_command(0, "--json", "bundle", "show")
        self.assertEqual(json.loads(shown.output)["head"]["version"], 1)
        self.run_command(0, "bundle", "wait", "1")
        result = self.run_command(1, "bundle", "wait", "2", "--timeout", "0")
        self.assertIn("version 2 isn't in force", result.output)

    def test_long_wait_shows_progress(self) -> None:
        """Fails if an operator sees nothing during a long wait."""
        dead = "http://127.0.0.1:18299"
        live = f"http://127.0.0.1:{_ENTRY_PORT}"
        output = io.StringIO()
        with (
            contextlib.redirect_stderr(output),
            self.assertRaisesRegex(errors.OutcomeUnknownError, "no answer"),
        ):
            anyio.run(
                rollout_wait.wait_for_version,
                1,
                (live, dead),
                5.0,
                SkippingClock(),
            )
        lines = output.getvalue().splitlines()
        self.assertEqual(lines, ["1 of 2 entries have version 1"] * 2)

    def test_unsigned_rollout_fails(self) -> None:
        """Fails if one signature of two needed is enough."""
        self.run_command(
            0, "bundle", "sign", self.path("atlas.toml"),
            "--key", self.path("ann.key"),
        )  # fmt: skip
        result = self.run_command(
            1, "bundle", "rollout", self.path("atlas.toml"),
            "--signature", self.path("atlas.toml.ann.sig"),
        )  # fmt: skip
        self.assertIn("1 valid signatures, 2 needed", result.output)
        self.assertEqual(self.server.platform.table.revision, 0)

    def test_lost_answer_is_resolved(self) -> None:
        """Fails if a lost answer to storing the body ends a rollout."""
        self.server.platform.rules.set_rule(
            faults.FaultRule("", faults.LoseAnswers(2))
        )
        result = self.sign_and_roll_out(0, "atlas.toml")
        self.assertIn("is accepted", result.output)
        self.assertEqual(self.server.platform.table.writes, 1)

    def test_mistakes_of_the_user(self) -> None:
        """Fails if a mistake gives a traceback or doesn't name the remedy."""
        bad = self.write("bad.toml", _EXAMPLE.replace("7101", "0"))
        broken = self.write("broken.toml", 'platform_url = 1\ncolor = "x"\n')
        empty = self.write("empty.toml", "")
        atlas = self.path("atlas.toml")
        trust = self.path("trust.toml")
        for arguments, expected in (
            (("bundle", "check", bad), "services[bid].port"),
            (("bundle", "check", "/nowhere"), "check the path"),
            (("bundle", "sign", atlas, "--key", trust), "keygen"),
            (("bundle", "rollout", atlas, "--signature", trust), "bundle sign"),
            (("--config", broken, "bundle", "show"), "platform_url"),
            (("--config", empty, "bundle", "show"), "platform_url is missing"),
            (("--config", empty, "bundle", "wait", "1"), "--entry"),
            (("bundle", "wait", "1", "--entry", "x"), "like http://"),
            (("bundle", "wait", "zero"), "Invalid value"),
            (("bundle", "unknown"), "No such command"),
            (("keygen", "a", "--output", atlas), "exists and is kept"),
        ):
            with self.subTest(arguments):
                result = self.run_command(2, *arguments)
                self.assertIn(expected, result.output)

    def test_platform_down_is_a_failure(self) -> None:
        """Fails if an unreachable platform is called the user's mistake."""
        config = self.write("down.toml", 'platform_url = "http://127.0.0.1:1"')
        result = self.run_command(1, "--config", config, "bundle", "show")
        self.assertIn("can't be reached", result.output)
        self.assertEqual(len(result.output.splitlines()), 1)

    def test_every_command_has_help_with_an_example(self) -> None:
        """Fails if a command can't be learned from its help."""
        commands = ["check", "review", "sign", "rollout", "show", "wait"]
        for arguments in [["keygen"], *(["bundle", name] for name in commands)]:
            result = self.run_command(0, *arguments, "--help")
            self.assertIn("Example", result.output)

    def test_private_key_is_readable_by_its_owner_only(self) -> None:
        """Fails if another user of the machine can read a private key."""
        path = self.folder / "new.key"
        result = self.run_command(
            0, "--json", "keygen", "new", "--output", str(path)
        )
        self.assertEqual(path.stat().st_mode & 0o777, 0o600)
        self.assertEqual(len(json.loads(result.output)["public_key"]), 64)
