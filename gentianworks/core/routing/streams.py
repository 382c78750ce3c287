"""Streams: which pieces of an answer are relayed, and where a cut answer resumes."""

from __future__ import annotations

from enum import Enum

from attrs import define

from gentianworks.core.events.dispatch import AnswerPiece


class PieceVerdict(Enum):
    """Decision on a received piece: relay it, drop it, or fail the attempt."""

    RELAY = "relay"
    DROP = "drop"
    GAP = "gap"


@define
class StreamProgress:
    """Part of an answer that its caller has received.

    Another attempt can resume the answer only at an event boundary, where nothing was
    relayed after the last complete event.
    """

    has_head: bool = False  # of the present attempt
    next_sequence: int = 0  # pieces received in order of the present attempt
    last_event: int = -1  # last complete event relayed over all attempts
    is_at_event_boundary: bool = True

    def begin_attempt(self) -> None:
        """Reset the counts that belong to one attempt."""
        self.has_head = False
        self.next_sequence = 0

    def accept_piece(self, piece: AnswerPiece) -> PieceVerdict:
        """Record a received piece and return what to do with it."""
        if piece.sequence < self.next_sequence:
            return PieceVerdict.DROP
        if piece.sequence > self.next_sequence or not self.has_head:
            return PieceVerdict.GAP
        self.next_sequence += 1
        if piece.last_event < 0:
            self.is_at_event_boundary = False
            return PieceVerdict.RELAY
        return self._accept_events(piece)

    def _accept_events(self, piece: AnswerPiece) -> PieceVerdict:
        if piece.last_event <= self.last_event:
            return PieceVerdict.DROP
        if piece.first_event != self.last_event + 1:
            return PieceVerdict.GAP
        self.is_at_event_boundary = True
        self.last_event = piece.last_event
        return PieceVerdict.RELAY

    def is_complete(self, pieces: int) -> bool:
        """Return whether the head and all `pieces` that the end counts have arrived."""
        return self.has_head and pieces == self.next_sequence
