"""Record of the promotion orders of a database group that may take effect.

It is written to the store before an order is sent. An order without an answer
may still be carried out much later, so its targets stay in the record.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRecord:
    """Servers that a promotion order may name.

    Attributes:
        candidates: Servers that an order may still make the primary.
        settled: Whether all orders so far were answered.
    """

    candidates: frozenset[str] = frozenset()
    settled: bool = True

    def before_order(self, targets: frozenset[str]) -> 'OrderRecord':
        """Return the record that precedes an order for one of `targets`."""
        return OrderRecord(self.candidates | targets, settled=False)

    def after_answer(self, promoted: frozenset[str]) -> 'OrderRecord':
        """Return the record that follows the answer to the next order.

        Args:
            promoted: The server that the platform promotes; empty if it
                refused the order.
        """
        if self.settled:
            # A refused order leaves the primary that the last one made.
            return OrderRecord(promoted or self.candidates)
        return OrderRecord(self.candidates | promoted, settled=False)

    def merged(self, other: 'OrderRecord') -> 'OrderRecord':
        """Return the record of all orders that either record covers."""
        return OrderRecord(
            self.candidates | other.candidates,
            self.settled and other.settled,
        )
