"""Runs the node process: `python3 -m fireflywell.platform`."""

import signal
import sys


def main() -> int:
    """Runs the node process and returns its exit code."""
    # SIGHUP requests a reload of the settings. It may arrive during the imports
    # below, and its default action would terminate the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from fireflywell.platform import main as node_main

    return node_main.main()


if __name__ == "__main__":
    sys.exit(main())
