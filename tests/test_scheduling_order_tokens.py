"""Fencing tokens in orders to workers that start again under their id."""

import unittest

from fireflywell.scheduling import order_tokens


class OrderTokensTest(unittest.TestCase):
    """Tokens of one owner and its successor."""

    def test_token_rises_with_each_incarnation_of_a_worker(self) -> None:
        """Fails if an incarnation accepts late orders to the former one."""
        tokens = order_tokens.OrderTokens(3)
        first = tokens.find("w1")
        self.assertFalse(tokens.observe("w1", 10))
        self.assertFalse(tokens.observe("w1", 10))
        self.assertEqual(tokens.find("w1"), first)
        self.assertTrue(tokens.observe("w1", 20))
        second = tokens.find("w1")
        self.assertGreater(second, first)
        self.assertTrue(tokens.observe("w1", 30))
        self.assertGreater(tokens.find("w1"), second)
        self.assertEqual(tokens.find("w2"), first)

    def test_unknown_incarnation_changes_nothing(self) -> None:
        """Fails if orders are refused because a report lacks its start."""
        tokens = order_tokens.OrderTokens(3)
        tokens.observe("w1", 10)
        first = tokens.find("w1")
        self.assertFalse(tokens.observe("w1", 0))
        self.assertEqual(tokens.find("w1"), first)

    def test_next_owner_is_above_all_tokens_of_the_former_one(self) -> None:
        """Fails if a worker that restarted often refuses the next owner."""
        tokens = order_tokens.OrderTokens(3)
        for start in range(1, 3000):
            tokens.observe("w1", start)
        successor = order_tokens.OrderTokens(4)
        self.assertGreater(successor.find("w1"), tokens.find("w1"))


if __name__ == "__main__":
    unittest.main()
