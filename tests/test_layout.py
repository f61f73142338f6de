"""Guards against modules that cannot be imported, as in an import cycle."""

import importlib
import pkgutil

import celeryrelay


def test_every_module_can_be_imported():
    for module in pkgutil.walk_packages(celeryrelay.__path__, 'celeryrelay.'):
        importlib.import_module(module.name)
