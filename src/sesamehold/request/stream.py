"""Position in a streamed answer."""

from __future__ import annotations

import attrs


@attrs.define
class StreamPosition:
    """Accepts each piece of a stream once and in order.

    A resumed attempt may repeat pieces that were already delivered; those are dropped. A gap
    is reported as an error, because delivering past it would lose tokens.

    >>> position = StreamPosition()
    >>> position.accept(0, 1, "a"), position.accept(0, 1, "a"), position.accept(2, 1, "c")
    (True, False, None)
    >>> position.next_index, position.text()
    (1, 'a')
    """

    next_index: int = 0
    _parts: list[str] = attrs.field(factory=list)

    def accept(self, index: int, token_count: int, text: str) -> bool | None:
        """Takes one piece.

        Args:
            index: Token index of the first token of the piece.
            token_count: Number of tokens in the piece.
            text: Text of the piece.

        Returns:
            True if the piece is new, False if it was delivered before, None if tokens are missing
            before it or if it overlaps the delivered part only in part.
        """
        if index == self.next_index:
            self.next_index = index + token_count
            self._parts.append(text)
            return True
        if index + token_count <= self.next_index:
            return False
        return None

    def text(self) -> str:
        """Returns the text delivered so far."""
        return "".join(self._parts)
