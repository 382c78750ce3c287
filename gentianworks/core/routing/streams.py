"""Streams: which pieces of an answer may reach its caller, and where to resume."""

from __future__ import annotations

from enum import Enum

from attrs import define

from gentianworks.core.events.dispatch import AnswerPiece


class PieceVerdict(Enum):
    """Tell what becomes of a piece that arrives."""

    RELAY = "relay"
    DROP = "drop"
    GAP = "gap"


@define
class StreamProgress:
    """Hold how much of an answer its caller has.

    `has_head` tells whether the present attempt's head has come, and
    `next_sequence` counts its pieces; `last_event` is the number of the last whole
    event relayed over all attempts; `is_at_event` tells that nothing follows that
    event, so that another attempt can go on after it.
    """

    has_head: bool = False
    next_sequence: int = 0
    last_event: int = -1
    is_at_event: bool = True

    def begin_attempt(self) -> None:
        """Count the pieces of a new attempt from its start."""
        self.has_head = False
        self.next_sequence = 0

    def take_piece(self, piece: AnswerPiece) -> PieceVerdict:
        """Note a piece that has arrived and tell what becomes of it."""
        if piece.sequence < self.next_sequence:
            return PieceVerdict.DROP
        if piece.sequence > self.next_sequence or not self.has_head:
            return PieceVerdict.GAP
        self.next_sequence += 1
        if piece.last_event < 0:
            self.is_at_event = False
            return PieceVerdict.RELAY
        return self._take_events(piece)

    def _take_events(self, piece: AnswerPiece) -> PieceVerdict:
        if piece.last_event <= self.last_event:
            return PieceVerdict.DROP
        if piece.first_event != self.last_event + 1:
            return PieceVerdict.GAP
        self.is_at_event = True
        self.last_event = piece.last_event
        return PieceVerdict.RELAY

    def is_whole(self, pieces: int) -> bool:
        """Tell whether all pieces that an end mark counts have been relayed."""
        return self.has_head and pieces == self.next_sequence
