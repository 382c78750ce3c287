"""Tests of the file cache of the methods that attrs compiles."""

from __future__ import annotations

import traceback
from pathlib import Path

from attrs import field, frozen

from gentianworks.generated import (
    CodeCache,
    load_code_cache,
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
