"""Tests of the file cache of the methods that attrs compiles."""

from __future__ import annotations

import traceback
from pathlib import Path
from typing import Any

from attrs import define, field, fields, frozen

from gentianworks.generated import (
    CodeCache,
    FieldTuple,
    load_code_cache,
    represent,
    save_code_cache,
    use_code_cache,
)


def make_class() -> type:
    """Return a new class with generated methods."""

    @frozen
    class Point:
        x: int = 0
        y: int = 0

    return Point


def make_various_classes() -> list[Any]:
    """Return instances of classes with the kinds of fields that attrs supports."""

    @define
    class Node:
        name: str
        children: list[Any] = field(factory=list)
        secret: str = field(default="s", repr=False)
        size: int = field(default=3, repr=lambda size: f"<{size}>")
        late: int = field(init=False)

    @frozen
    class Counts:
        count: int = 1
        index: int = 2
        _hidden: int = 3

    @frozen
    class Derived(Counts):
        more: int = 4

    cyclic = Node("cyclic")
    cyclic.children.append(cyclic)
    complete = Node("complete", [Counts(), Derived()])
    complete.late = 5
    return [Node("a"), cyclic, complete, Counts(), Derived()]


class TestSharedCode:
    def test_representations_are_those_that_attrs_generates(self) -> None:
        expected = [repr(item) for item in make_various_classes()]
        with use_code_cache(CodeCache()):
            items = make_various_classes()
        assert [repr(item) for item in items] == expected

    def test_fields_are_available_by_name_and_position(self) -> None:
        # The names `count` and `index` are also those of methods of tuples.
        with use_code_cache(CodeCache()):
            items = make_various_classes()
        for item in items:
            found = fields(type(item))
            assert [getattr(found, each.name) for each in found] == list(found)
            assert not hasattr(found, "missing")

    def test_attrs_is_unchanged_after_the_context(self) -> None:
        with use_code_cache(CodeCache()):
            pass
        item = make_various_classes()[0]
        assert type(fields(type(item))) is not FieldTuple
        assert type(item).__repr__ is not represent


class TestCodeCache:
    def test_second_start_compiles_nothing(self, tmp_path: Path) -> None:
        path = tmp_path / "codes"
        first = CodeCache()
        with use_code_cache(first):
            make_class()
        save_code_cache(first, path)
        second = load_code_cache(path)
        with use_code_cache(second):
            point = make_class()
        assert first.compiled_count > 0
        assert second.compiled_count == 0
        assert point(1, 2) == point(1, 2) != point(2, 1)
        assert hash(point(1, 2)) == hash(point(1, 2))

    def test_changed_source_is_compiled_again(self) -> None:
        cache = CodeCache()
        cache.compile("x = 1", "<a>", "exec")
        code = cache.compile("x = 2", "<a>", "exec")
        namespace: dict[str, int] = {}
        exec(code, namespace)
        assert namespace["x"] == 2

    def test_damaged_file_or_file_of_another_python_is_ignored(
        self, tmp_path: Path
    ) -> None:
        path = tmp_path / "codes"
        assert load_code_cache(path).code_objects == {}
        path.write_bytes(b"other" * 9)
        assert load_code_cache(path).code_objects == {}
        save_code_cache(CodeCache({b"key": compile("x = 1", "<a>", "exec")}), path)
        path.write_bytes(path.read_bytes()[:-3])
        assert load_code_cache(path).code_objects == {}

    def test_attrs_compiles_without_the_cache_after_the_context(self) -> None:
        cache = CodeCache()
        with use_code_cache(cache):
            pass
        make_class()
        assert cache.compiled_count == 0

    def test_an_exception_in_generated_code_can_be_logged(self) -> None:
        # Guards against a traceback that can't be formatted without line numbers.
        with use_code_cache(CodeCache()):

            @frozen
            class Named:
                name: str = field(converter=int)

        try:
            Named("x")
        except ValueError as error:
            text = "".join(traceback.format_exception(error))
        assert "attrs generated" in text
        assert "__init__" in text
        assert "ValueError" in text
