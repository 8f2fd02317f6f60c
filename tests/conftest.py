"""Fixtures for tests of the whole program: its peer, and cleanup of started programs."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.peer import Peer, Program


@pytest.fixture(autouse=True)
def no_program_outlives_its_test() -> Iterator[None]:
    """Kills programs at the end: one that runs on asks at addresses that other tests' stand-ins may get."""
    yield
    Program.kill_all()


@pytest.fixture
def peer() -> Iterator[Peer]:
    made = Peer()
    yield made
    Program.kill_all()
    made.close()
