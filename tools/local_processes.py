"""Starts and ends the programs as real processes on loopback."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import datetime
import fcntl
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import types
from typing import Any
from typing import TextIO

import anyio
import httpcore

from fireflywell import clock as clock_lib

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Deployments with the same ports wait for each other.
_LOCK_FILE = pathlib.Path(
    tempfile.gettempdir(),
    f"fireflywell-ports-{os.environ.get('FIREFLYWELL_PORT_OFFSET', '0')}.lock",
)
PROGRAMS = {
    "entry": "fireflywell.entry.main",
    "control": "fireflywell.control.main",
    "standin": "fireflywell.standins.main",
    "load": "fireflywell.loadtool.main",
    "operator": "fireflywell.cli.main",
    "node": "fireflywell.platform",
    "emulator": "fireflywell.standins.emulator",
}
# Generous: a loaded machine may need long to start a process.
WAIT_SECONDS = 60.0
_POLL_INTERVAL = datetime.timedelta(milliseconds=50)
_TAIL_LINES = 25


class StepError(Exception):
    """A step of a scenario or of the demo didn't come true."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A response read by the harness."""

    status: int
    outcome: str
    body: bytes


class ManagedProcess:
    """One started process; it is only ever ended by its id."""

    __slots__ = ("_log_path", "_name", "_process")

    def __init__(
        self,
        name: str,
        program: str,
        arguments: list[str],
        log: pathlib.Path,
        variables: Mapping[str, str] = types.MappingProxyType({}),
    ) -> None:
        self._name = name
        self._log_path = log
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT / "src"),
            **variables,
        }
        command = [sys.executable, "-m", PROGRAMS[program], *arguments]
        with log.open("ab") as output:
            self._process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=environment,
                cwd=log.parent,
            )

    @property
    def name(self) -> str:
        """Name of the process in scenarios."""
        return self._name

    @property
    def log_path(self) -> pathlib.Path:
        """File that receives its output."""
        return self._log_path

    @property
    def exit_code(self) -> int | None:
        """Exit code, or None while it runs."""
        return self._process.poll()

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process.

        Raises:
            StepError: The process has ended.
        """
        if self.exit_code is not None:
            raise StepError(
                f"{self._name} ended before with exit code {self.exit_code}"
            )
        self._process.send_signal(number)

    def wait(self) -> int:
        """Waits for the end and returns the exit code.

        Raises:
            StepError: It didn't end within the bound.
        """
        try:
            return self._process.wait(WAIT_SECONDS)
        except subprocess.TimeoutExpired as error:
            raise StepError(f"{self._name} doesn't end") from error

    def end(self) -> None:
        """Kills the process if it still runs, frozen or not."""
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()

    def read_tail(self) -> str:
        """Returns the last lines of its output."""
        with self._log_path.open(errors="replace") as lines:
            return "".join(collections.deque(lines, _TAIL_LINES))

    def count_lines(self, text: str) -> int:
        """Returns how many lines of its output contain `text`."""
        with self._log_path.open(errors="replace") as lines:
            return sum(text in line for line in lines)


class ProcessGroup:
    """All processes of one run; leaving the context ends them.

    Ports are fixed, so runs on one machine wait for one another. Otherwise a
    run could take the server of another run for its own.
    """

    __slots__ = ("_all", "_by_name", "_directory", "_lock")

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self._all: list[ManagedProcess] = []
        self._by_name: dict[str, ManagedProcess] = {}
        self._lock: TextIO | None = None

    def __enter__(self) -> "ProcessGroup":
        self._lock = _LOCK_FILE.open("a")
        fcntl.flock(self._lock, fcntl.LOCK_EX)
        return self

    def __exit__(self, *_: object) -> None:
        for process in self._all:
            process.end()
        if self._lock is not None:
            self._lock.close()

    def start(
        self, name: str, program: str, arguments: list[str]
    ) -> ManagedProcess:
        """Starts a process; its output is appended to `<name>.log`."""
        log = self._directory / f"{name.replace(' ', '-')}.log"
        process = ManagedProcess(name, program, arguments, log)
        self._all.append(process)
        self._by_name[name] = process
        return process

    def find(self, name: str) -> ManagedProcess:
        """Returns the latest process of that name.

        Raises:
            StepError: None was started.
        """
        if name not in self._by_name:
            raise StepError(f"{name} wasn't started")
        return self._by_name[name]

    def describe_logs(self) -> str:
        """Returns the last lines of all processes' output."""
        return "\n".join(
            f"--- {process.name} (exit code {process.exit_code})\n"
            f"{process.read_tail()}"
            for process in self._by_name.values()
        )


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Waits until a condition holds.

    Raises:
        StepError: It didn't hold within the bound.
    """
    clock = clock_lib.SystemClock()
    deadline = clock.monotonic() + datetime.timedelta(seconds=WAIT_SECONDS)
    while not condition():
        if clock.monotonic() > deadline:
            raise StepError(f"it never came true that {description}")
        anyio.run(clock.sleep, _POLL_INTERVAL)


def send_request(
    method: str,
    url: str,
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
) -> HttpAnswer | None:
    """Sends one request; returns None if no response came."""
    fields = [("content-length", str(len(body))), *headers]
    timeout = {"connect": 2.0, "read": WAIT_SECONDS, "pool": 2.0}
    try:
        answer = httpcore.request(
            method,
            url,
            headers=fields,
            content=body,
            extensions={"timeout": timeout},
        )
    except (
        OSError,
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
    ):
        return None
    found = dict(answer.headers).get(b"fireflywell-outcome", b"")
    return HttpAnswer(answer.status, found.decode(), answer.content)


def send_json(method: str, url: str, document: Any = None) -> Any:
    """Sends a call and returns the parsed answer.

    Raises:
        StepError: No answer or another status than 200 came.
    """
    body = b"" if document is None else json.dumps(document).encode()
    answer = send_request(method, url, body)
    if answer is None or answer.status != 200:
        raise StepError(f"{method} {url}: {answer}")
    return json.loads(answer.body) if answer.body else None
