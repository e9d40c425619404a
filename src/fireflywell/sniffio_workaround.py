"""Spares httpcore a failing import at each of its locks."""

import importlib.util
import sys


def mark_sniffio_missing() -> None:
    """Records that the package sniffio is missing, if it is.

    httpcore tries to import it whenever it makes a lock or an event, several
    times for each request. A failing import searches the whole path each time,
    which took about a quarter of an exchange's processor time.
    """
    if "sniffio" in sys.modules:
        return
    if importlib.util.find_spec("sniffio") is None:
        sys.modules["sniffio"] = None  # type: ignore[assignment]
