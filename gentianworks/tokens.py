"""Tokens: creates and verifies the random secrets of operators."""

from __future__ import annotations

import hashlib
import hmac
import secrets

from attrs import frozen

from gentianworks.settings import OperatorSettings

TOKEN_BYTES = 32
SALT_BYTES = 8
DIGEST_BYTES = 32
SEPARATOR = "$"


def create_token() -> str:
    """Return a new random token of 256 bits."""
    return secrets.token_urlsafe(TOKEN_BYTES)


def digest_token(token: str, salt: str = "") -> str:
    """Return the salted digest of a token; an empty salt is replaced with a new one."""
    salt = salt or secrets.token_hex(SALT_BYTES)
    digest = hashlib.blake2b(
        token.encode(), salt=bytes.fromhex(salt), digest_size=DIGEST_BYTES
    )
    return f"{salt}{SEPARATOR}{digest.hexdigest()}"


@frozen
class OperatorRegistry:
    """Operators by the digests of their tokens."""

    operators: tuple[OperatorSettings, ...]

    def find_operator(self, token: str) -> str | None:
        """Return the name of the operator that a token belongs to, or None.

        All digests are compared, each in constant time, so that the time taken reveals
        nothing about a token.
        """
        found = None
        for operator in self.operators:
            salt = operator.digest.partition(SEPARATOR)[0]
            if hmac.compare_digest(digest_token(token, salt), operator.digest):
                found = operator.name
        return found
