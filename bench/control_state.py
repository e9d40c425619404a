"""Measures the cost of the control state."""
