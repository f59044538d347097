"""Every docstring's example runs."""

import doctest
import importlib
import pkgutil

import endivespindle


def test_docstring_examples():
    failed = 0
    for info in pkgutil.walk_packages(endivespindle.__path__, "endivespindle."):
        if ".tests" in info.name or info.name.endswith("__main__"):
            continue
        module = importlib.import_module(info.name)
        failed += doctest.testmod(module).failed
    assert failed == 0
