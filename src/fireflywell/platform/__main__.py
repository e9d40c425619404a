"""Starts the node: `python3 -m fireflywell.platform`."""

import signal
import sys


def main() -> int:
    """Runs the node; returns its exit code."""
    # A change of the settings may be announced while the modules are loading,
    # and the signal's default action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from fireflywell.platform import main as node_main

    return node_main.main()


if __name__ == "__main__":
    sys.exit(main())
