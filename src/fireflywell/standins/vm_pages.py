"""The platform's list of VMs in pages whose tokens are positions.

Each page is taken from the list as it is at that moment. A VM that is removed
between two pages hides the first VM of the second one, and one that is added
shows the last VM of the first page again.
"""

from collections.abc import Sequence
from typing import Any


class VmPages:
    """Makes pages of a list that changes between them."""

    __slots__ = ("_page_size",)

    def __init__(self, page_size: int) -> None:
        """Creates pages.

        Args:
            page_size: Number of VMs in a page.
        """
        self._page_size = page_size

    def make_page(
        self, machines: Sequence[dict[str, Any]], token: str
    ) -> dict[str, Any]:
        """Returns a page of the list as it is now.

        Args:
            machines: The encoded VMs.
            token: Token of the page; empty for the first one.

        Raises:
            ValueError: The token isn't a position.
        """
        first = int(token or 0)
        end = first + self._page_size
        return {
            "machines": list(machines[first:end]),
            "next_page_token": str(end) if end < len(machines) else "",
        }
