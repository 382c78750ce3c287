"""Calls: requests to a gateway, independent of the protocol that carried them."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.types import Header


@frozen
class PromptPart:
    """One part of a prompt; calls with equal digests share it."""

    digest: str
    tokens: int


@frozen
class Call:
    """Request of a caller."""

    request_id: str
    host: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    timeout: float  # seconds from arrival
    api_key: str = ""
    prompt: tuple[PromptPart, ...] = ()  # the last part is specific to this call
    output_tokens: int = 0
    last_event: int = -1  # number of the last event that the caller has; -1 for none

    def list_shared_parts(self) -> tuple[str, ...]:
        """Return the digests of the prompt parts that other calls may share."""
        return tuple(part.digest for part in self.prompt[:-1])

    @property
    def affinity_key(self) -> str:
        """Return the digest of the last prompt part that other calls share."""
        return self.prompt[-2].digest if len(self.prompt) > 1 else ""

    @property
    def placement_key(self) -> str:
        """Return the key by which the call is placed."""
        return self.affinity_key or self.request_id
