"""Pausing the garbage collector ends with the block, also after an error."""

from __future__ import annotations

import gc

import pytest

from springspread.gc_pause import collector_paused


def test_collection_resumes_after_the_block_and_after_an_error() -> None:
    with pytest.raises(ValueError), collector_paused():
        assert not gc.isenabled()
        raise ValueError
    assert gc.isenabled()


def test_nested_pause_does_not_end_the_outer_one() -> None:
    with collector_paused():
        with collector_paused():
            pass
        assert not gc.isenabled()
    assert gc.isenabled()
