"""Tracks the delivered part of a streamed answer."""

from __future__ import annotations

import attrs


@attrs.define
class StreamPosition:
    """Accepts each piece of a stream exactly once and in order.

    A resumed attempt may repeat pieces that were already delivered; these are discarded. A gap is
    reported to the caller of `accept`, because skipping it would lose tokens.

    >>> position = StreamPosition()
    >>> position.accept(0, 1, "a"), position.accept(0, 1, "a"), position.accept(2, 1, "c")
    (True, False, None)
    >>> position.next_index, position.text()
    (1, 'a')
    """

    next_index: int = 0
    _texts: list[str] = attrs.field(factory=list)

    def accept(self, index: int, token_count: int, text: str) -> bool | None:
        """Accepts or rejects one piece.

        Args:
            index: Index of the first token of the piece.
            token_count: Number of tokens in the piece.
            text: Text of the piece.

        Returns:
            True if the piece is new, False if it was already delivered, None if there is a gap
            before the piece or it overlaps the delivered part only partially.
        """
        if index == self.next_index:
            self.next_index = index + token_count
            self._texts.append(text)
            return True
        if index + token_count <= self.next_index:
            return False
        return None

    def text(self) -> str:
        """Returns the text delivered so far."""
        return "".join(self._texts)
