"""Fleet capacity and maintenance manager.

The modules below are the API for embedders; everything else may change
without notice. The
modules of `coordination` have examples in docs/library.md.

- `clock`, `errors`, `supervision`: time, the exception tree, supervised tasks.
- `infrastructure.tables`, `infrastructure.records`: interface of a table
  service and its data classes.
- `coordination.transactions`: conditional writes whose answers may be lost.
- `coordination.leases`: leases with fencing tokens, without wall clocks.
- `requests.service_queue`, `requests.retry_budget`, `requests.ejection`,
  `requests.key_ledger`: decisions of a request path.
- `fleet.budgets`, `fleet.waves`, `fleet.moves`, `fleet.placement`: decisions
  about VMs and jobs.
"""
