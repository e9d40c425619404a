"""Fleet capacity and maintenance manager.

The parts for embedders are listed in docs/library.md.
"""
