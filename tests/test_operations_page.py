"""The operators' page against the code that it describes."""

import dataclasses
import re
import unittest

from fireflywell.cli import settings as cli_settings
from fireflywell.control import settings as control_settings
from fireflywell.entry import settings as entry_settings
from tests import bundle_samples

_PAGE = (bundle_samples.ROOT / "docs" / "OPERATIONS.md").read_text()
_SOURCES = bundle_samples.ROOT / "src" / "fireflywell"
_EVENT = re.compile(r'log_event\(\s*"([a-z_.]+)"')
_METRIC = re.compile(
    r'\.(?:count|record_gauge|record_duration)\(\s*f?"([a-z_.{}()\[\]]+)"'
)


def find_in_sources(pattern: re.Pattern[str]) -> set[str]:
    """Returns what a pattern finds in all modules."""
    return {
        name
        for path in _SOURCES.rglob("*.py")
        for name in pattern.findall(path.read_text())
    }


def read_section(title: str) -> str:
    """Returns the text below a title up to the next one."""
    return re.split(r"^##+ ", _PAGE.split(f"# {title}")[1], flags=re.M)[0]


class OperationsPageTest(unittest.TestCase):
    """Names on the page."""

    def test_events(self) -> None:
        """Fails if an event is missing on the page, or isn't logged."""
        listed = re.findall(r"^\| `([a-z_.]+)` \|", read_section("Log events"),
                            flags=re.M)  # fmt: skip
        self.assertEqual(find_in_sources(_EVENT), set(listed))

    def test_metrics(self) -> None:
        """Fails if a metric is missing on the page, or isn't sent."""
        sent = find_in_sources(_METRIC)
        self.assertGreater(len(sent), 10)
        listed = re.findall(r"`([a-z_.<>]+)`", read_section("Metrics"))
        listed.remove("fireflywell.entry.")
        listed.remove("fireflywell.control.")
        patterns = {
            name: re.escape(re.sub(r"\{[^}]*\}", "#", name)).replace(
                r"\#", r"[a-z_<>]+"
            )
            for name in sent
        }
        for name, pattern in patterns.items():
            with self.subTest(sent=name):
                self.assertTrue(any(re.fullmatch(pattern, x) for x in listed))
        for name in listed:
            with self.subTest(listed=name):
                found = patterns.values()
                self.assertTrue(any(re.fullmatch(p, name) for p in found))

    def test_settings(self) -> None:
        """Fails if a setting is missing on the page, or doesn't exist."""
        for title, kind in (
            ("Entry: ", entry_settings.EntrySettings),
            ("Control: ", control_settings.ControlSettings),
            ("Command line: ", cli_settings.CliSettings),
        ):
            with self.subTest(title):
                listed = re.findall(
                    r"^\| `([a-z_]+)` \|", read_section(title), flags=re.M
                )
                names = [field.name for field in dataclasses.fields(kind)]
                self.assertEqual(listed, names)
