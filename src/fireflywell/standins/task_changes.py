"""Numbers the changes of tasks, so that a reader asks for new ones only."""

from collections.abc import Iterable

from fireflywell.infrastructure import records


class TaskChanges:
    """Compares the tasks of all workers with what was reported last."""

    __slots__ = ("_reported", "_revision", "_revisions")

    def __init__(self) -> None:
        self._reported: dict[tuple[str, int], records.Task] = {}
        self._revisions: dict[tuple[str, int], int] = {}
        self._revision = 0

    def list_after(
        self, revision: int, tasks: Iterable[records.Task]
    ) -> records.TaskPage:
        """Returns the tasks that changed after a revision."""
        for task in tasks:
            name = (task.job_id, task.attempt)
            if self._reported.get(name) != task:
                self._revision += 1
                self._reported[name] = task
                self._revisions[name] = self._revision
        changed = tuple(
            self._reported[name]
            for name, number in self._revisions.items()
            if number > revision
        )
        return records.TaskPage(changed, self._revision)
