"""Generated code: caches the compiled methods of attrs classes in a file.

attrs generates the source of a class's methods and compiles it when the class is
created, which takes more than a third of the processor time of an import (0.18 of
0.43 s). The build writes the compiled code to a file, and a process that finds the file
compiles only sources that it lacks. To save memory, classes share what attrs would
generate for each: the representation and the access to fields by name.

`python -m gentianworks.generated FILE MODULE` writes the file for a module.
"""

from __future__ import annotations

import importlib
import linecache
import marshal
import re
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from importlib.util import MAGIC_NUMBER
from pathlib import Path
from types import CodeType
from typing import Any

import attr._compat
import attr._make
import xxhash
from attrs import NOTHING, define, field, fields

# Format of co_linetable: an entry has a flag, a kind (13 is a line without columns) and
# the number of code units less one; the difference to the previous line follows.
SAME_LINE_ENTRY = 0x80 | (13 << 3)
MAX_ENTRY_UNITS = 8
BYTES_PER_UNIT = 2
# attrs writes a salt into each __hash__, which differs between processes but only has
# to differ between classes, so the cache key omits it.
HASH_SALT = re.compile(r"^ +-?\d+,$", re.MULTILINE)


@define
class CodeCache:
    """Cache of compiled code by the digest of its file name and source."""

    code_objects: dict[bytes, CodeType] = field(factory=dict)
    compiled_count: int = 0  # sources that were not cached

    def compile(self, source: str, filename: str, mode: str) -> CodeType:
        """Return the code of a source, compiling it if it is not cached."""
        # attrs keeps each source in linecache for debuggers, which takes megabytes.
        linecache.cache.pop(filename, None)
        key = _digest(filename, HASH_SALT.sub("", source))
        code = self.code_objects.get(key)
        if code is None:
            code = _strip_positions(compile(source, filename, mode))
            self.code_objects[key] = code
            self.compiled_count += 1
        return code


def _digest(filename: str, source: str) -> bytes:
    # The sources themselves would be most of the file and of the memory for it.
    text = f"{filename}\0{source}".encode()
    return xxhash.xxh3_128_digest(text)


def _strip_positions(code: CodeType) -> CodeType:
    """Return code whose instructions all have the position of the first line.

    Exact positions are of no use without the source. An empty table would make Python
    fail to format tracebacks.
    """
    constants = tuple(
        _strip_positions(item) if isinstance(item, CodeType) else item
        for item in code.co_consts
    )
    count = len(code.co_code) // BYTES_PER_UNIT
    table = bytearray()
    for start in range(0, count, MAX_ENTRY_UNITS):
        length = min(MAX_ENTRY_UNITS, count - start)
        table += bytes((SAME_LINE_ENTRY | (length - 1), 0))
    return code.replace(co_consts=constants, co_linetable=bytes(table))


def load_code_cache(path: Path) -> CodeCache:
    """Return the cache in a file, empty if it is missing or of another Python."""
    try:
        with path.open("rb") as file:
            if file.read(len(MAGIC_NUMBER)) == MAGIC_NUMBER:
                return CodeCache(marshal.load(file))
    except (OSError, EOFError, ValueError, TypeError):
        # A missing or truncated file only costs time: attrs compiles the classes.
        return CodeCache()
    return CodeCache()


def save_code_cache(cache: CodeCache, path: Path) -> None:
    """Write a cache to a file for processes of the same Python."""
    path.write_bytes(MAGIC_NUMBER + marshal.dumps(cache.code_objects))


class FieldTuple(tuple[Any, ...]):
    """Fields of an attrs class, which are also available by name.

    attrs generates a class with a property for each field instead, which takes 2 KB
    for each attrs class.
    """

    def __getattr__(self, name: str) -> Any:
        """Return the field called `name`."""
        for item in self:
            if item.name == name:
                return item
        raise AttributeError(f"the class has no field {name!r}", name=name, obj=self)


def choose_tuple_class(class_name: str, names: list[str]) -> type:
    """Return the class for the fields of an attrs class."""
    if any(hasattr(FieldTuple, name) for name in names):
        return _make_tuple_class(class_name, names)
    return FieldTuple


def add_repr(builder: Any, namespace: str | None) -> Any:
    """Give an attrs class the shared `__repr__` instead of a generated one.

    The generated ones would be two fifths of all generated code.
    """
    if namespace is not None:
        return _add_generated_repr(builder, namespace)
    builder._cls_dict["__repr__"] = represent
    builder._repr_added = True
    return builder


def represent(value: Any) -> str:
    """Return the representation of an instance that attrs would generate."""
    context = attr._compat.repr_context
    present = vars(context).setdefault("already_repring", set())
    if id(value) in present:
        return "..."
    present.add(id(value))
    try:
        parts = [
            f"{item.name}={_represent_field(value, item)}"
            for item in fields(type(value))
            if item.repr is not False
        ]
    finally:
        present.remove(id(value))
    name = type(value).__qualname__.rsplit(">.", 1)[-1]
    return f"{name}({', '.join(parts)})"


def _represent_field(value: Any, item: Any) -> str:
    content = getattr(value, item.name, *(() if item.init else (NOTHING,)))
    text: str = repr(content) if item.repr is True else item.repr(content)
    return text


_make_tuple_class = attr._make._make_attr_tuple_class
_add_generated_repr = attr._make._ClassBuilder.add_repr


@contextmanager
def use_code_cache(cache: CodeCache) -> Iterator[None]:
    """Make attrs compile through a cache, and share code, within the context."""
    attrs_globals = vars(attr._make)
    attrs_globals["compile"] = cache.compile
    attrs_globals["_make_attr_tuple_class"] = choose_tuple_class
    builder: Any = attr._make._ClassBuilder
    builder.add_repr = add_repr
    try:
        yield
    finally:
        del attrs_globals["compile"]
        attrs_globals["_make_attr_tuple_class"] = _make_tuple_class
        builder.add_repr = _add_generated_repr


def main(path: Path, module: str) -> None:
    """Write the code of all classes that importing a module creates."""
    cache = CodeCache()
    with use_code_cache(cache):
        importlib.import_module(module)
    save_code_cache(cache, path)


if __name__ == "__main__":
    main(Path(sys.argv[1]), sys.argv[2])
