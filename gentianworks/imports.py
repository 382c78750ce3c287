"""Imports: keeps modules that a process does not use out of its memory.

Several libraries import all of their modules with any one of them, or import OpenSSL
for a feature that the process does not use.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from importlib import import_module
from importlib.util import find_spec
from types import ModuleType
from typing import Any

# Names that are used of packages that import all of their modules, with the modules
# that define them. This leaves out the command line and supervisors of uvicorn, the
# collections and effects of expression and the middleware of aioprometheus (2.3 MB).
DEFERRED_PACKAGES = {
    "aioprometheus": {
        "Counter": "aioprometheus.collectors",
        "Gauge": "aioprometheus.collectors",
        "Histogram": "aioprometheus.collectors",
        "Registry": "aioprometheus.collectors",
        "Summary": "aioprometheus.collectors",
        "render": "aioprometheus.renderer",
    },
    "expression": {
        "Error": "expression.core.result",
        "Ok": "expression.core.result",
        "Result": "expression.core.result",
    },
    # Functions that have the names of their modules.
    "expression.core": {
        "compose": "expression.core.compose",
        "curry": "expression.core.curry",
        "pipe": "expression.core.pipe",
        "tagged_union": "expression.core.tagged_union",
    },
    "uvicorn": {
        "Config": "uvicorn.config",
        "Server": "uvicorn.server",
        "main": "uvicorn.main",
    },
}
# Modules that load OpenSSL (4.6 MB, of which 1.2 MB are private). The platform's
# processes serve no TLS, and hashlib and hmac have implementations without OpenSSL.
OPENSSL_MODULES = ("ssl", "_ssl", "_hashlib")
# Modules that uvicorn and anyio import without using them, with the names that they
# read of them. uvicorn's configuration files for the log need 0.6 MB.
PLACEHOLDERS: dict[str, dict[str, Any]] = {
    "configparser": {"RawConfigParser": object},
    "logging.config": {},
    "ssl": {"PROTOCOL_TLS_SERVER": 17, "CERT_NONE": 0, "SSLContext": object},
}


class DeferredPackage(ModuleType):
    """Package that loads its modules separately, and runs its own code only if needed.

    Its own code runs on the first use of a name that `names` does not list.
    """

    def __init__(self, name: str, names: dict[str, str]) -> None:
        spec = find_spec(name)
        if spec is None or spec.loader is None:
            raise ModuleNotFoundError(f"No module named {name!r}", name=name)
        super().__init__(name)
        vars(self)["_module_of_name"] = names
        self.__spec__ = spec
        self.__loader__ = spec.loader
        self.__file__ = spec.origin
        self.__path__ = list(spec.submodule_search_locations or ())

    def __setattr__(self, name: str, value: Any) -> None:
        """Set an attribute, unless a module would take the place of a listed name."""
        if not (isinstance(value, ModuleType) and name in self._module_of_name):
            super().__setattr__(name, value)

    def __getattr__(self, name: str) -> Any:
        """Return a listed name, or one that the package's own code defines."""
        if name.startswith("__"):
            raise AttributeError(name)
        if name in self._module_of_name:
            value = getattr(import_module(self._module_of_name[name]), name)
            setattr(self, name, value)
            return value
        spec = self.__spec__
        assert spec is not None
        assert spec.loader is not None
        if find_spec(f"{spec.name}.{name}") is not None:
            return import_module(f"{spec.name}.{name}")
        self.__class__ = ModuleType  # type: ignore[assignment]
        spec.loader.exec_module(self)
        return getattr(self, name)


def defer_packages() -> None:
    """Defer the own code of the packages that are not yet imported."""
    for name, names in DEFERRED_PACKAGES.items():
        if name not in sys.modules:
            sys.modules[name] = DeferredPackage(name, names)


@contextmanager
def omit_unused_modules() -> Iterator[None]:
    """Keep what is imported within the context from loading unused modules.

    Code that is imported afterwards can import those modules as usual.
    """
    omitted = [
        name for name in {*OPENSSL_MODULES, *PLACEHOLDERS} if name not in sys.modules
    ]
    hidden = [name for name in OPENSSL_MODULES if name in omitted]
    sys.modules.update(dict.fromkeys(hidden))  # type: ignore[arg-type]
    try:
        # These do without the hidden modules; other libraries need placeholders.
        for name in ("asyncio", "hashlib", "hmac", "logging"):
            import_module(name)
        for name in PLACEHOLDERS:
            if name in omitted:
                placeholder = ModuleType(name, "Placeholder of an unused module.")
                vars(placeholder).update(PLACEHOLDERS[name])
                sys.modules[name] = placeholder
        yield
    finally:
        for name in omitted:
            sys.modules.pop(name, None)
