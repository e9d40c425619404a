"""Adapter that translates between the users' platform and the node's types."""
