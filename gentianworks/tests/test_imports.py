"""Tests of the modules that a process of the platform loads."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROLES = ("router", "control")
# Modules that cost memory and are not used by a process of the platform.
OPENSSL_MODULES = {"ssl", "_ssl", "_hashlib"}
UNUSED_MODULES = OPENSSL_MODULES | {
    "aioprometheus.asgi.middleware",
    "aioprometheus.decorators",
    "click",
    "configparser",
    "expression.collections",
    "expression.core.mailbox",
    "expression.effect",
    "gentianworks.ini_folder",
    "logging.config",
    "logging.handlers",
    "multiprocessing",
    "uvicorn.main",
    "uvicorn.supervisors",
}


# Runs the program and prints the modules that are loaded when it ends.
LIST_MODULES = """
import atexit, runpy, sys
def print_modules():
    print("modules:", *[name for name, module in sys.modules.items() if module])
atexit.register(print_modules)
runpy.run_module("gentianworks.platform", run_name="__main__", alter_sys=True)
"""


def list_loaded_modules(role: str, folder: Path) -> set[str]:
    """Return the modules of a process of a role, which ends for lack of settings."""
    completed = subprocess.run(
        [sys.executable, "-c", LIST_MODULES, role],
        env={**os.environ, "GENTIANWORKS_BOOT": str(folder / "missing.toml")},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert "GW1010" in completed.stdout, completed.stderr[-2000:]
    return set(completed.stdout.rpartition("modules:")[2].split())


def run_python(code: str) -> str:
    """Return the standard output of code in a new process."""
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60
    )
    assert completed.returncode == 0, completed.stderr
    return completed.stdout.strip()


class TestImportedModules:
    @pytest.mark.parametrize("role", ROLES)
    def test_a_process_does_not_import_modules_that_it_does_not_use(
        self, role: str, tmp_path: Path
    ) -> None:
        modules = list_loaded_modules(role, tmp_path)
        assert "gentianworks.platform.runner" in modules
        assert "anyio._backends._asyncio" in modules
        assert modules & UNUSED_MODULES == set()


class TestDeferredPackage:
    def test_a_name_that_is_not_listed_is_still_available(self) -> None:
        # Guards against a deferred package that lacks names of the real one.
        output = run_python(
            "from gentianworks.imports import defer_packages\n"
            "defer_packages()\n"
            "from expression import Ok, Some\n"
            "from expression.collections import Block\n"
            "import uvicorn\n"
            "import aioprometheus\n"
            "print(Ok(1).ok, Some(2).value, len(Block.empty()))\n"
            "print(uvicorn.run.__name__, uvicorn.Server.__name__)\n"
            "print(type(uvicorn.main).__name__)\n"
            "print(aioprometheus.Summary.__name__, aioprometheus.inprogress.__name__)"
        )
        expected = "1 2 0 run Server Command Summary inprogress"
        assert output.split() == expected.split()

    def test_a_listed_name_is_the_one_of_the_package(self) -> None:
        output = run_python(
            "from gentianworks.imports import defer_packages\n"
            "defer_packages()\n"
            "import expression, uvicorn, aioprometheus\n"
            "listed = [expression.Ok, expression.Result, aioprometheus.render]\n"
            "expression.Some, uvicorn.run, aioprometheus.Summary\n"
            "real = [expression.Ok, expression.Result, aioprometheus.render]\n"
            "print(listed == real)"
        )
        assert output == "True"

    def test_a_function_is_not_replaced_by_its_module(self) -> None:
        # Guards against functions that are hidden by modules of the same name.
        output = run_python(
            "from gentianworks.imports import defer_packages\n"
            "defer_packages()\n"
            "from expression import Ok\n"
            "from expression.core import curry, pipe, option\n"
            "import expression\n"
            "print(callable(curry), callable(pipe), option.Some is expression.Some)\n"
            "print(callable(expression.compose), callable(expression.tagged_union))"
        )
        assert set(output.split()) == {"True"}


class TestOmitUnusedModules:
    def test_the_modules_can_be_imported_afterwards(self) -> None:
        output = run_python(
            "import sys\n"
            "from gentianworks.imports import omit_unused_modules\n"
            "with omit_unused_modules():\n"
            "    import uvicorn, anyio._backends._asyncio\n"
            "loaded = '_ssl' in sys.modules\n"
            "import ssl, configparser, logging.config\n"
            "print(configparser.ConfigParser.__name__, logging.config.dictConfig)\n"
            "print(loaded, ssl.create_default_context().__class__.__name__)"
        )
        assert output.startswith("ConfigParser <function dictConfig")
        assert output.endswith("False SSLContext")

    def test_digests_are_those_of_openssl(self) -> None:
        # A router and a process with OpenSSL have to agree on signatures and keys.
        code = (
            "import hashlib, hmac\n"
            "print(hashlib.blake2b(b'a', key=b'k', digest_size=16).hexdigest())\n"
            "print(hashlib.sha256(b'a').hexdigest())\n"
            "print(hmac.compare_digest(b'a', b'a'), hmac.compare_digest(b'a', b'b'))"
        )
        context = (
            "from gentianworks.imports import omit_unused_modules\n"
            "context = omit_unused_modules()\n"
            "context.__enter__()\n"
        )
        assert run_python(context + code) == run_python(code)
