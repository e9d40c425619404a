"""Compares the versions in the store's answers with the newest one known.

Reads of the store may show an earlier state, while transactions are always
applied to the present one.
"""

from typing import Any

from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib


class StoreVersions:
    """Remembers the newest version in any answer and reports older ones."""

    __slots__ = ("_metrics", "_newest")

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        self._metrics = metrics
        self._newest = 0

    @property
    def newest(self) -> int:
        """The newest version of the store that any answer has shown."""
        return self._newest

    def observe(self, answer: dict[str, Any]) -> int | None:
        """Records the version of an answer.

        Returns:
            The version; None if the answer has no valid one.
        """
        version = _find_version(answer)
        if version is not None:
            self._newest = max(self._newest, version)
        return version

    def is_behind(self, answer: dict[str, Any]) -> bool:
        """Returns whether an answer shows an earlier state than another one."""
        version = _find_version(answer)
        return version is not None and version < self._newest

    def observe_read(
        self, answer: dict[str, Any], table: str, partition: str, known: int
    ) -> None:
        """Records the version of a read's answer; reports it if it is old.

        Args:
            answer: The answer.
            table: Table that was read.
            partition: Partition that was read; empty if there is none.
            known: Newest version known when the call was sent.
        """
        version = self.observe(answer)
        if version is None or version >= known:
            return
        self._metrics.count("node.store.stale_reads")
        logs.log_event(
            "store.stale_read",
            table=table,
            partition=partition,
            version=version,
            known=known,
        )


def _find_version(answer: dict[str, Any]) -> int | None:
    version = answer.get("row_version")
    is_valid = isinstance(version, int) and not isinstance(version, bool)
    return version if is_valid else None
