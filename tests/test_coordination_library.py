"""Runs the examples of docs/library.md."""

import re
import unittest

from tests import bundle_samples


class LibraryPageTest(unittest.TestCase):
    """Tests the page's code blocks."""

    def test_examples_run(self) -> None:
        """Fails if an example of the page raises an error as printed."""
        page = (bundle_samples.ROOT / "docs" / "library.md").read_text()
        examples = re.findall(r"```python\n(.*?)```", page, re.DOTALL)
        self.assertEqual(len(examples), 3)
        for number, example in enumerate(examples):
            with self.subTest(number):
                code = compile(example, f"library.md[{number}]", "exec")
                exec(code, {"__name__": "example"})
