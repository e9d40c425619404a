"""Supervisor tree: tasks, each with an explicit failure policy."""
