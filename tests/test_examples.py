"""The example settings are valid."""

import pathlib
import unittest

from fireflywell import settings
from fireflywell.entry import settings as entry_settings
from fireflywell.loadtool import plan
from fireflywell.standins import deployment
from fireflywell.standins import settings as standin_settings

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


class ExamplesTest(unittest.TestCase):
    """Reads each file as its program does."""

    def test_examples_match_the_settings_classes(self) -> None:
        """Fails if a key is renamed and an example still has the old one."""
        standins = settings.load_settings(
            _EXAMPLES / "standin.toml", standin_settings.StandinSettings
        )
        deployment.check_settings(standins)
        entry = settings.load_settings(
            _EXAMPLES / "entry.toml", entry_settings.EntrySettings
        )
        load = settings.load_settings(_EXAMPLES / "load.toml", plan.Plan)
        plan.check_plan(load)
        url = f"http://{entry.address}:{entry.port}"
        self.assertEqual(load.targets, (url,))
        self.assertEqual(standins.balancers[0].entries, (url,))
        services = {service.name for service in standins.services}
        self.assertLessEqual({f.service for f in load.flows}, services)


if __name__ == "__main__":
    unittest.main()
