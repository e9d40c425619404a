"""The process on each machine: callers' interface and owned services."""
