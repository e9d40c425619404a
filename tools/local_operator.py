"""Operators of a local deployment: keys, bundles and their rollout."""

import json
import pathlib
from typing import Any

from tools import local_processes
from tools import local_system

from fireflywell.fleet import jobs
from fireflywell.infrastructure import records

JOB_KIND = "reports"
JOB_TEAM = "operations"
_REVIEWERS = ("alice", "bob")
# 21 days.
_MAINTENANCE_SECONDS = 1_814_400.0


class LocalOperators:
    """Runs the command line of the operators as processes of their own."""

    __slots__ = (
        "_commands",
        "_config",
        "_directory",
        "_reviewers",
        "_system",
    )

    def __init__(self, system: local_system.LocalSystem) -> None:
        """Makes the reviewers' keys and the trust file."""
        self._system = system
        self._directory = system.directory
        self._commands = 0
        self._config: str | None = None
        self._reviewers = [
            {
                "name": name,
                "public_key": json.loads(
                    self.run("--json", "keygen", name).splitlines()[-1]
                )["public_key"],
            }
            for name in _REVIEWERS
        ]
        trust = {"threshold": 2, "reviewers": self._reviewers}
        self._write("trust.toml", trust)
        settings = {
            "platform_url": local_system.PLATFORM_URL,
            "trust_file": str(self._directory / "trust.toml"),
            "entries": list(system.entry_urls),
        }
        self._config = str(self._write("operator.toml", settings))

    def write_bundle(
        self,
        author: int,
        version: int,
        maintenance_seconds: float = _MAINTENANCE_SECONDS,
    ) -> pathlib.Path:
        """Writes a bundle; two authors' bundles differ in a team's weight.

        Args:
            author: Number of the operator.
            version: Version of the bundle.
            maintenance_seconds: Every VM is maintained once in this time.
        """
        layout = self._system.layout
        document = {
            "version": version,
            "signing": {"threshold": 2, "reviewers": self._reviewers},
            "pools": [
                {
                    "name": name,
                    "target_vms": layout.vms,
                    "carries": [JOB_KIND],
                }
                for name in layout.services
            ],
            "services": [
                {
                    "name": name,
                    "pool": name,
                    "port": local_system.SERVICE_PORT + index,
                    "budget": {"minimum_instances": 1},
                    "echoes_request_id": True,
                }
                for index, name in enumerate(layout.services)
            ],
            "classes": [{"name": "default", "weight": 1.0}],
            "teams": [
                {
                    "name": JOB_TEAM,
                    "weight": float(author),
                    "cores": 64.0,
                    "memory_mb": 65_536.0,
                }
            ],
            "maintenance": {"interval": maintenance_seconds},
        }
        return self._write(f"bundle-{author}-{version}.toml", document)

    def sign_bundle(self, path: pathlib.Path) -> tuple[pathlib.Path, ...]:
        """Lets each reviewer sign; returns the signature files."""
        for name in _REVIEWERS:
            key = str(self._directory / f"{name}.key")
            self.run("bundle", "sign", str(path), "--key", key)
        return tuple(
            path.with_name(f"{path.name}.{name}.sig") for name in _REVIEWERS
        )

    def start_rollout(
        self, path: pathlib.Path, signatures: tuple[pathlib.Path, ...]
    ) -> local_processes.ManagedProcess:
        """Starts the rollout of a signed bundle."""
        options = [
            part for file in signatures for part in ("--signature", str(file))
        ]
        return self._start("bundle", "rollout", str(path), *options)

    def run(self, *arguments: str) -> str:
        """Runs a command and returns what it printed.

        Raises:
            StepError: It failed.
        """
        process = self._start(*arguments)
        output_of = process.log_path
        if process.wait() != 0:
            raise local_processes.StepError(
                f"fireflywell {' '.join(arguments)} failed: "
                f"{output_of.read_text()}"
            )
        return output_of.read_text()

    def _start(self, *arguments: str) -> local_processes.ManagedProcess:
        self._commands += 1
        name = f"operator command {self._commands}"
        options = ["--config", self._config] if self._config else []
        return self._system.processes.start(
            name, "operator", [*options, *arguments]
        )

    def _write(self, name: str, document: dict[str, Any]) -> pathlib.Path:
        path = self._directory / name
        path.write_text(local_system.format_toml(document))
        return path


def assign_vms(system: local_system.LocalSystem) -> None:
    """Writes the rows that give each pool its VMs.

    The planner does this in a deployment with control processes.
    """
    layout = system.layout
    writes = [
        {
            "key": f"vm/vm{index * layout.vms + number}",
            "value": json.dumps(
                {
                    "vm_id": f"vm{index * layout.vms + number}",
                    "pool": pool,
                    "phase": "serving",
                    "move_id": "",
                    "target_pool": "",
                    "maintained_at": 0,
                    "boot": 0,
                }
            ),
        }
        for index, pool in enumerate(layout.services)
        for number in range(1, layout.vms + 1)
    ]
    _write_rows("assign-vms", writes)


def submit_jobs(name: str, count: int, run_seconds: float) -> None:
    """Writes the rows of jobs that wait to be placed.

    Args:
        name: First part of the jobs' names.
        count: Number of jobs.
        run_seconds: Run time of each job.
    """
    writes = []
    for number in range(1, count + 1):
        spec = jobs.JobSpec(
            job_id=f"{name}-{number}",
            kind=JOB_KIND,
            team=JOB_TEAM,
            command="report",
            declared=records.Resources(cores=1.0, memory_mb=512.0),
            run_seconds=run_seconds,
            is_idempotent=False,
        )
        key = jobs.make_job_key("0", spec.job_id)
        value = jobs.encode_job(jobs.JobRecord(spec))
        writes.append({"key": key, "value": value})
    _write_rows(f"submit-{name}", writes)


def _write_rows(write_id: str, writes: list[dict[str, str]]) -> None:
    local_processes.send_json(
        "POST",
        f"{local_system.PLATFORM_URL}/v1/tables/transact",
        {"write_id": write_id, "conditions": [], "writes": writes},
    )
