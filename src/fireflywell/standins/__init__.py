"""Small stand-ins for the platform and for endpoints, with faults on demand."""
