"""Decisions about VMs and jobs: pools, waves, budgets, placement."""
