import doctest
import importlib
import pkgutil

import pytest

import quetzalrudder

MODULES = sorted(
    info.name
    for info in pkgutil.walk_packages(quetzalrudder.__path__, "quetzalrudder.")
    if not info.name.startswith("quetzalrudder.schema")
)


@pytest.mark.parametrize("name", MODULES)
def test_docstring_examples(name):
    failed, _ = doctest.testmod(importlib.import_module(name))
    assert failed == 0
