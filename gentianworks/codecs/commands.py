"""Commands: the encoding of commands, shared by messages and the journal."""

from __future__ import annotations

from cattrs.preconf.msgpack import MsgpackConverter, make_converter

from gentianworks.codecs.unions import register_union
from gentianworks.core.commands.base import Command


def create_converter() -> MsgpackConverter:
    """Return a converter that encodes each command with the name of its class."""
    converter = make_converter(detailed_validation=False)
    register_union(Command, converter)
    return converter
