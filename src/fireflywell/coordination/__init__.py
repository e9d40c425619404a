"""Compare-and-set transactions, leases and fencing on the table service."""
