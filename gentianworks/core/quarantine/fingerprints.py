"""Fingerprints: digests that identify requests and idempotency keys."""

from __future__ import annotations

from hashlib import blake2b

from gentianworks.core.types import Request, WorkspaceName

FINGERPRINT_BYTES = 12


def compute_fingerprint(request: Request) -> str:
    """Return the fingerprint of a request's service, method, path and body."""
    return _digest(
        request.service.encode(),
        request.method.encode(),
        request.path.encode(),
        request.body,
    )


def compute_key_id(workspace: WorkspaceName, key: str) -> str:
    """Return the ledger's identifier for an idempotency key of a workspace."""
    return _digest(workspace.encode(), key.encode())


def _digest(*parts: bytes) -> str:
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
