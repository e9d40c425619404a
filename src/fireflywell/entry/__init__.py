"""The entry process, between callers and instances."""
