"""Secret files: reads keys and tokens, and refuses files that others can access."""

from __future__ import annotations

import stat
from pathlib import Path

from attrs import frozen
from expression import Error, Ok, Result


@frozen
class SecretError:
    """Reason why a secret was not read from its file."""

    detail: str

    def __str__(self) -> str:
        """Return the message for an operator."""
        return self.detail


def read_secret(file: Path) -> Result[bytes, SecretError]:
    """Return the secret in a file that other users of the host can't access."""
    try:
        mode = file.stat().st_mode
        secret = file.read_bytes().strip()
    except OSError as error:
        reason = error.strerror or "unreadable"
        return Error(SecretError(f"{file}: {reason}; specify a readable file."))
    if mode & stat.S_IRWXO:
        permissions = oct(stat.S_IMODE(mode))
        detail = f"{file}: accessible to other users ({permissions}); chmod 600 it."
        return Error(SecretError(detail))
    if not secret:
        return Error(SecretError(f"{file}: is empty; write the secret to it."))
    return Ok(secret)
