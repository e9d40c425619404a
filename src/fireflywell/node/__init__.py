"""The node process: the callers' interface and the owners of services."""
