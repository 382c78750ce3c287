"""Tests of tagged unions, whose classes are encoded with their names."""

from __future__ import annotations

import pytest
from attrs import frozen
from cattrs import Converter

from gentianworks.codecs.unions import UnknownClassError, register_union


@frozen
class Shape:
    """Base class of a union."""


@frozen
class Square(Shape):
    """Subclass."""

    side: int


@frozen
class Cube(Square):
    """Subclass of a subclass."""

    side: int
    faces: tuple[Square, ...] = ()


@frozen
class Drawing:
    """Container of instances of subclasses."""

    shapes: tuple[Shape, ...]


class TestTaggedUnion:
    def test_each_subclass_is_decoded_as_itself(self) -> None:
        converter = Converter()
        register_union(Shape, converter)
        drawing = Drawing((Square(2), Cube(3, (Square(3),))))
        encoded = converter.unstructure(drawing)
        assert [item["_type"] for item in encoded["shapes"]] == [
            "Square",
            "Cube",
        ]
        assert converter.structure(encoded, Drawing) == drawing

    def test_an_unknown_name_is_rejected_with_a_remedy(self) -> None:
        union = register_union(Shape, Converter())
        with pytest.raises(UnknownClassError, match="run one version"):
            union.decode({"_type": "Circle"})

    def test_encoders_are_created_at_the_first_use_of_a_class(self) -> None:
        union = register_union(Shape, Converter())
        assert union.encode(Square(1)) == {"side": 1, "_type": "Square"}
        assert list(union._encoders) == [Square]

    def test_fields_with_their_default_value_can_be_left_out(self) -> None:
        union = register_union(Shape, Converter(), omits_defaults=True)
        encoded = union.encode(Cube(1))
        assert encoded == {"side": 1, "_type": "Cube"}
        assert union.decode(encoded) == Cube(1)
        full = union.encode(Cube(1, (Square(2),)))
        assert union.decode(full) == Cube(1, (Square(2),))
