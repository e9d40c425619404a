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

    # nose2 loads a test chosen on the command line by the method's own name;
    # with another name it would run `TestCase.run` and always pass.
    run.__name__ = f"test_{path.stem}"
    run.__doc__ = path.read_text().partition("\n")[0].removeprefix("# ")
    return run


for _path in sorted(scenario_runner.SCENARIOS.glob("*.scenario")):
    setattr(ScenarioTest, f"test_{_path.stem}", make_test(_path))


class LoaderTest(unittest.TestCase):
    """Each scenario file is one test."""

    def test_method_has_the_name_that_it_is_loaded_by(self) -> None:
        """Fails if a scenario chosen by name passes without being run."""
        for path in scenario_runner.SCENARIOS.glob("*.scenario"):
            method = getattr(ScenarioTest, f"test_{path.stem}")
            self.assertEqual(method.__name__, f"test_{path.stem}")


class LanguageTest(unittest.TestCase):
    """Scenario files are checked before anything is started."""

    def test_misspelt_step_is_refused_with_its_line(self) -> None:
        """Fails if a step that isn't understood is passed over."""
        with self.assertRaisesRegex(lark.exceptions.LarkError, "line 2"):
            scenario_language.parse_scenario("store down\nstore donw\n")


if __name__ == "__main__":
    unittest.main()
