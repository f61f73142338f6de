"""Guards against committed reference pages that differ from the models."""

import pathlib

import pytest

from celeryrelay.management import reference


@pytest.mark.parametrize('name', reference.PAGES)
def test_committed_pages_are_up_to_date(name):
    path = pathlib.Path(reference.OUTPUT_DIRECTORY) / name
    committed = path.read_text(encoding='utf-8')
    assert committed == reference.PAGES[name](), (
        'run `python -m celeryrelay.management.reference`'
    )


@pytest.mark.parametrize('name', reference.PAGES)
def test_every_key_is_described(name):
    rows = reference.PAGES[name]().splitlines()
    assert not [row for row in rows if row.endswith('|  |')]


def test_pages_are_written(tmp_path):
    reference.write_pages(tmp_path)
    written = (tmp_path / reference.OUTPUT_DIRECTORY).iterdir()
    assert {path.name for path in written} == set(reference.PAGES)
