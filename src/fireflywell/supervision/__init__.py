"""Supervisor tree: tasks with a written policy for their failure."""
