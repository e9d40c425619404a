"""Compare-and-set, leases and fencing on the table service."""
