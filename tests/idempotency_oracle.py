"""Oracle of at-most-once execution."""

from fireflywell.requests import outcomes


class Oracle:
    """Checks the outcomes of requests against the runs on instances."""

    def __init__(self) -> None:
        self.runs: dict[object, list[bytes]] = {}
        self.not_run: set[tuple[object, bytes]] = set()

    def note_run(self, key: object, body: bytes) -> int:
        """Records a run and checks that it is allowed; returns its number."""
        runs = self.runs.setdefault(key, [])
        runs.append(body)
        assert len(runs) == 1, f"{key} ran {len(runs)} times"
        assert (key, body) not in self.not_run, f"{key} ran after a refusal"
        return len(runs)

    def note_outcome(
        self, key: object, body: bytes, outcome: outcomes.RunResult
    ) -> None:
        """Checks the outcome that a caller got; records a refusal."""
        ran = body in self.runs.get(key, [])
        match outcome:
            case outcomes.Answered():
                assert outcome.body == body, f"{key}: crossed response"
                assert ran, f"{key} was answered and didn't run"
            case outcomes.Refused():
                assert not ran, f"{key} was refused and ran"
                self.not_run.add((key, body))
