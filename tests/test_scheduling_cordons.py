"""Cordons of workers, as they follow from the drain requests of their VMs."""

import dataclasses
import unittest

from fireflywell.scheduling import cordons
from fireflywell.scheduling import maintenance

_PHASES = maintenance.DrainPhase
_REQUEST = maintenance.DrainRequest("m-1", 1, _PHASES.DUE, 60.0, 1)


def _request_in(phase: maintenance.DrainPhase) -> maintenance.DrainRequest:
    return dataclasses.replace(_REQUEST, phase=phase)


class CordonTest(unittest.TestCase):
    """One worker and its VM's drain request."""

    def setUp(self) -> None:
        """Cordons the worker at 10 s."""
        self.cordon = cordons.make_cordon(_REQUEST, 10.0)

    def update(
        self,
        request: maintenance.DrainRequest | None,
        reported_s: float = 0.0,
        now_s: float = 20.0,
    ) -> cordons.Cordon | None:
        """Updates the cordon and returns it."""
        cordon = cordons.update_cordon(self.cordon, request, reported_s, now_s)
        if cordon is not None:
            self.cordon = cordon
        return cordon

    def test_open_request_keeps_the_cordon(self) -> None:
        """Fails if units start on a VM that may be taken away any time."""
        for phase in (_PHASES.DUE, _PHASES.READY):
            cordon = self.update(_request_in(phase), reported_s=19.9)
            self.assertEqual(cordon, cordons.Cordon(1, "", 10.0))

    def test_report_after_the_order_ends_the_cordon(self) -> None:
        """Fails if a worker that survived the order never works again.

        A report that may have been requested before the order proves nothing.
        """
        done = _request_in(_PHASES.DONE)
        self.assertIsNotNone(self.update(done, reported_s=19.0, now_s=20.0))
        self.assertIsNotNone(self.update(done, reported_s=21.0, now_s=25.0))
        self.assertIsNone(self.update(done, reported_s=22.5, now_s=25.0))

    def test_withdrawn_or_replaced_request_ends_the_cordon(self) -> None:
        """Fails if a worker stays cordoned for a request that is gone."""
        other = dataclasses.replace(_REQUEST, wave=2)
        self.assertIsNone(self.update(None))
        self.assertIsNone(self.update(other))

    def test_reopened_request_is_another_one(self) -> None:
        """Fails if a worker is used before its second order was carried out.

        The time of the first closing must not count for the second.
        """
        done = _request_in(_PHASES.DONE)
        self.assertIsNotNone(self.update(done, now_s=20.0))
        ready = _request_in(_PHASES.READY)
        self.assertEqual(
            self.update(ready, now_s=30.0), cordons.Cordon(1, "", 30.0)
        )
        self.assertIsNotNone(self.update(done, reported_s=39.9, now_s=40.0))


if __name__ == "__main__":
    unittest.main()
