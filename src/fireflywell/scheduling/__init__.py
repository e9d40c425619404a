"""Scheduling of jobs with several steps: order, placement and progress."""
