"""What tests of the whole program share: the other side, and programs that end with their test."""

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
def ended() -> Iterator[Callable[[Program], None]]:
    """Hand a program in, and its process is over when the test is."""
    programs: list[Program] = []
    yield programs.append
    for one in programs:
        one.process.kill()
        one.process.wait(WAIT_S)
