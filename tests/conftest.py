"""Fixtures for tests of the whole program: its peer, and cleanup of started programs."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest

from tests.peer import WAIT_S, Peer, Program


@pytest.fixture
def peer() -> Iterator[Peer]:
    made = Peer()
    yield made
    made.close()


@pytest.fixture
def kill_at_teardown() -> Iterator[Callable[[Program], None]]:
    """Registers a program whose process is killed when the test ends."""
    programs: list[Program] = []
    yield programs.append
    for one in programs:
        one.process.kill()
        one.process.wait(WAIT_S)
