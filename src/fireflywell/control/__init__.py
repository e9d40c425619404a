"""The control process: maintenance planner and job scheduler."""
