"""Unions: subclasses of one class, each encoded with the name of its class.

The tagged unions of cattrs generate the hooks of all subclasses at once, which takes
0.13 s of each start; here each hook is generated on first use.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from attrs import define, field
from cattrs import Converter
from cattrs.gen import make_dict_unstructure_fn

TAG = "_type"

ConversionHook = Callable[..., Any]


class UnknownClassError(ValueError):
    """Raised for a name that no subclass has."""


@define
class TaggedUnion:
    """Encoder and decoder of the subclasses of an abstract class.

    With `omits_defaults`, fields that have their default value are not encoded.
    """

    base: type
    converter: Converter
    omits_defaults: bool = False
    _classes: dict[str, type] = field(factory=dict)
    _encoders: dict[type, ConversionHook] = field(factory=dict)
    _decoders: dict[str, ConversionHook] = field(factory=dict)

    def encode(self, value: Any) -> dict[str, Any]:
        """Return the encoded fields of an instance and the name of its class."""
        kind = type(value)
        encoder = self._encoders.get(kind)
        if encoder is None:
            encoder = self._encoders[kind] = self._create_encoder(kind)
        encoded: dict[str, Any] = encoder(value)
        encoded[TAG] = kind.__name__
        return encoded

    def _create_encoder(self, kind: type) -> ConversionHook:
        if not self.omits_defaults:
            return self.converter.get_unstructure_hook(kind)
        return make_dict_unstructure_fn(
            kind, self.converter, _cattrs_omit_if_default=True
        )

    def decode(self, encoded: dict[str, Any], _: type | None = None) -> Any:
        """Return an instance of the named class.

        Raises UnknownClassError if no subclass has that name.
        """
        name = encoded[TAG]
        decoder = self._decoders.get(name)
        if decoder is None:
            kind = self._get_class(name)
            decoder = self.converter.get_structure_hook(kind)
            self._decoders[name] = decoder
        return decoder(encoded, self._classes[name])

    def _get_class(self, name: str) -> type:
        if name not in self._classes:
            self._classes = {
                kind.__name__: kind for kind in iterate_subclasses(self.base)
            }
        try:
            return self._classes[name]
        except KeyError:
            raise UnknownClassError(
                f"No subclass of {self.base.__name__} is named {name!r}; "
                f"run one version of gentianworks everywhere."
            ) from None


def iterate_subclasses(base: type) -> Iterator[type]:
    """Yield the direct and indirect subclasses of a class."""
    subclasses: list[type] = base.__subclasses__()
    for kind in subclasses:
        yield kind
        yield from iterate_subclasses(kind)


def register_union(
    base: type, converter: Converter, omits_defaults: bool = False
) -> TaggedUnion:
    """Make a converter encode values of type `base` with the name of their class."""
    union = TaggedUnion(base, converter, omits_defaults)
    converter.register_unstructure_hook_func(lambda kind: kind is base, union.encode)
    converter.register_structure_hook_func(lambda kind: kind is base, union.decode)
    return union
