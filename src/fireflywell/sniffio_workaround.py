"""Keeps httpcore from repeating a failing import of sniffio."""

import importlib.util
import sys


def mark_sniffio_missing() -> None:
    """Marks the package sniffio as missing in `sys.modules`, if it is.

    httpcore tries to import it whenever it creates a lock or an event, several
    times for each request. Each failing import searches the whole path, which
    took about a quarter of an exchange's processor time.
    """
    if "sniffio" in sys.modules:
        return
    if importlib.util.find_spec("sniffio") is None:
        sys.modules["sniffio"] = None  # type: ignore[assignment]
