"""Names the tables and row keys that nodes use in the row store."""

import zlib

from fireflywell.coordination import row_store

# The store holds at most 100 tables. An owner follows the whole table of its
# service, so with more shards it reads fewer changes of other services.
_SHARDS = 32

NODES = "nodes"
OWNERS = "owners"
ASSIGNED_WORKERS = "rosters"
QUEUES = "queues"

# A row for each queue with the services that hold its jobs. One partition, so
# that one read shows all queues.
QUEUE_SERVICES = "services"

# Written by transactions that only check their conditions; never read.
CHECKS = "checks"

# Drain requests and needs for VMs change often, and only nodes that own a
# service or the fleet read them.
FLEET = "upkeep"

# Written by operators and workers; nodes only read them.
OPERATOR = "op"
INSTANCES = "servers"

# Written for operators.
STATUS = "status"

OWNER_KEY = "owner"
CONFIRMATION_KEY = "confirmation"

# Differs from all names of services, which have partitions of their own.
QUEUE_SERVICES_PARTITION = "~queues"

_CANCEL_SUFFIX = "/cancel"

# Separates a job's ID from the range of units of a row of its progress.
_RANGE_SEPARATOR = "/"
# The character after the separator, in the order of keys.
_AFTER_SEPARATOR = "0"


def name_jobs_table(service: str) -> str:
    """Returns the table of a service's accepted jobs."""
    return f"jobs{_compute_shard(service):02d}"


def name_progress_table(service: str) -> str:
    """Returns the table of the progress of a service's jobs."""
    return f"work{_compute_shard(service):02d}"


def locate_owner(service: str) -> row_store.RowKey:
    """Returns the row key of the row that names a service's owner."""
    return row_store.RowKey(OWNERS, service, OWNER_KEY)


def locate_check(service: str) -> row_store.RowKey:
    """Returns the row key that is written to check conditions of a service."""
    return row_store.RowKey(CHECKS, service, "check")


def locate_confirmation(service: str) -> row_store.RowKey:
    """Returns the row key that an owner writes to confirm its ownership."""
    return row_store.RowKey(OWNERS, service, CONFIRMATION_KEY)


def locate_assigned_workers(service: str) -> row_store.RowKey:
    """Returns the row key of the list of workers that may run units."""
    return row_store.RowKey(ASSIGNED_WORKERS, service, "workers")


def locate_job(service: str, job_id: str) -> row_store.RowKey:
    """Returns the row key of an accepted job."""
    return row_store.RowKey(name_jobs_table(service), service, job_id)


def locate_cancel(service: str, job_id: str) -> row_store.RowKey:
    """Returns the row key of the mark that a job is cancelled."""
    return row_store.RowKey(
        name_jobs_table(service), service, job_id + _CANCEL_SUFFIX
    )


def locate_progress(service: str, job_id: str) -> row_store.RowKey:
    """Returns the row key of a job's progress."""
    return row_store.RowKey(name_progress_table(service), service, job_id)


def locate_progress_range(
    service: str, job_id: str, range_key: str
) -> row_store.RowKey:
    """Returns the row key of the progress of a range of a job's units."""
    return row_store.RowKey(
        name_progress_table(service),
        service,
        job_id + _RANGE_SEPARATOR + range_key,
    )


def split_progress_key(key: str) -> tuple[str, str]:
    """Returns the job and the range of units of a row of progress.

    The range is empty for the row of the job's state.
    """
    job_id, _, range_key = key.partition(_RANGE_SEPARATOR)
    return job_id, range_key


def find_end_of_ranges(job_id: str) -> str:
    """Returns the key after those of all ranges of a job's units."""
    return job_id + _AFTER_SEPARATOR


def locate_waiting_counts(service: str) -> row_store.RowKey:
    """Returns the row key of the numbers of waiting jobs of all queues."""
    return row_store.RowKey(QUEUES, service, "waiting")


def locate_queue_services(queue: str) -> row_store.RowKey:
    """Returns the row key of the services that hold a queue's jobs."""
    return row_store.RowKey(QUEUE_SERVICES, QUEUE_SERVICES_PARTITION, queue)


def split_cancel_key(key: str) -> str | None:
    """Returns the job that a key of the jobs table cancels, or None."""
    if key.endswith(_CANCEL_SUFFIX):
        return key.removesuffix(_CANCEL_SUFFIX)
    return None


def _compute_shard(service: str) -> int:
    return zlib.crc32(service.encode()) % _SHARDS
