"""Fingerprints: digests that identify requests and idempotency keys."""

from __future__ import annotations

from hashlib import blake2b

from gentianworks.core.types import Request, WorkspaceName

FINGERPRINT_BYTES = 12


def compute_fingerprint(request: Request) -> str:
    """Return the fingerprint of a request's service, method, path and body."""
    return digest_parts(
        request.service.encode(),
        request.method.encode(),
        request.path.encode(),
        request.body,
    )


def compute_key_id(workspace: WorkspaceName, key: str) -> str:
    """Return the ledger's identifier for an idempotency key of a workspace."""
    return digest_parts(workspace.encode(), key.encode())


def digest_parts(*parts: bytes) -> str:
    """Return a digest that differs between different sequences of parts."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
