"""The harness of scenarios and demo keeps runs apart."""

import pathlib
import tempfile
import unittest

from tools import local_processes
from tools import local_system


class SeparateRunsTest(unittest.TestCase):
    """Two runs on one machine."""

    def test_foreign_platform_is_refused(self) -> None:
        """Fails if a run works with the stand-ins of another run."""
        with (
            tempfile.TemporaryDirectory() as name,
            local_processes.ProcessGroup(pathlib.Path(name)) as group,
        ):
            layout = local_system.Layout(entries=1, controls=0, vms=1)
            directory = pathlib.Path(name)
            local_system.LocalSystem(directory, group, layout).start_standins()
            second = local_system.LocalSystem(directory, group, layout)
            with self.assertRaisesRegex(
                local_processes.StepError, "already answers"
            ):
                second.start_standins()


if __name__ == "__main__":
    unittest.main()
