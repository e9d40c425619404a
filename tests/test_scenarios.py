"""One test for each scenario file; see tests/scenarios."""

from collections.abc import Callable
import pathlib
import unittest

import lark

from tests import scenario_language
from tests import scenario_runner


class ScenarioTest(unittest.TestCase):
    """Runs the scenario files against the real programs."""


def make_test(path: pathlib.Path) -> Callable[[ScenarioTest], None]:
    """Returns a test method that runs one scenario."""

    def run(_: ScenarioTest) -> None:
        scenario_runner.run_scenario(path)

    run.__doc__ = path.read_text().partition("\n")[0].removeprefix("# ")
    return run


for _path in sorted(scenario_runner.SCENARIOS.glob("*.scenario")):
    setattr(ScenarioTest, f"test_{_path.stem}", make_test(_path))


class LanguageTest(unittest.TestCase):
    """Scenario files are checked before anything is started."""

    def test_misspelt_step_is_refused_with_its_line(self) -> None:
        """Fails if a step that isn't understood is passed over."""
        with self.assertRaisesRegex(lark.exceptions.LarkError, "line 2"):
            scenario_language.parse_scenario("store down\nstore donw\n")


if __name__ == "__main__":
    unittest.main()
