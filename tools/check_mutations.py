"""Puts named faults into a copy of the package and checks that tests fail.

Each fault replaces one piece of text in one module. A fault that no longer
applies, or that its tests don't notice, is reported and fails the run.

Usage: python tools/check_mutations.py [NAME ...]
"""

import dataclasses
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
FAULTS = ROOT / "tests" / "mutations.toml"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        name: Name of the fault.
        module: File below src/fireflywell.
        find: Text that occurs exactly once in the file.
        replace: Text that takes its place.
        test: Name of the test module that must fail.
    """

    name: str
    module: str
    find: str
    replace: str
    test: str


def read_faults() -> tuple[Fault, ...]:
    """Returns all faults listed in tests/mutations.toml."""
    document = tomllib.loads(FAULTS.read_text())
    return tuple(Fault(**entry) for entry in document["fault"])


def check_fault(fault: Fault) -> str:
    """Runs a fault's test against a copy with the fault; returns the result."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        shutil.copytree(ROOT / "src", copy / "src")
        shutil.copytree(ROOT / "tests", copy / "tests")
        path = copy / "src" / "fireflywell" / fault.module
        text = path.read_text()
        if text.count(fault.find) != 1:
            return "doesn't apply"
        path.write_text(text.replace(fault.find, fault.replace))
        run = subprocess.run(
            [sys.executable, "-m", "nose2", "-s", "tests", "-t", ".",
             fault.test],
            cwd=copy,
            env={
                "FUZZ_NO_SHRINK": "1",
                "PYTHONPATH": "src",
                "PATH": "/usr/bin:/bin",
            },
            capture_output=True,
            text=True,
            check=False,
        )  # fmt: skip
    if "Ran 0 tests" in run.stderr or "ModuleImportFailure" in run.stderr:
        return "test didn't run"
    return "not noticed" if run.returncode == 0 else "noticed"


def main() -> int:
    """Checks all faults, or those named on the command line."""
    names = set(sys.argv[1:])
    faults = [f for f in read_faults() if not names or f.name in names]
    wrong = 0
    for fault in faults:
        result = check_fault(fault)
        wrong += result != "noticed"
        print(f"{result:14} {fault.name} ({fault.test})", flush=True)
    print(f"{len(faults) - wrong} of {len(faults)} faults noticed")
    return 1 if wrong or not faults else 0


if __name__ == "__main__":
    sys.exit(main())
