"""Decisions about jobs of several steps: order, placement, progress."""
