"""SIGHUP: the configuration is reloaded completely or not at all."""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from springspread import config
from tests.peer import WAIT_S, Peer, Program, until
from tests.test_config import make


@pytest.fixture
def peers() -> Iterator[list[Peer]]:
    made = [Peer(), Peer()]
    yield made
    for peer in made:
        peer.close()


@pytest.fixture
def program(tmp_path: Path, peers: list[Peer]) -> Iterator[Program]:
    made = Program(tmp_path, peers[0])
    yield made
    made.process.kill()
    made.process.wait(WAIT_S)


def events(program: Program, name: str) -> list[dict[str, Any]]:
    return [line for line in program.log if line["event"] == name]


def test_discovery_and_notices_move_to_the_new_address(program: Program, peers: list[Peer]) -> None:
    old, new = peers
    old.notice_answers = [503] * 10_000  # never accepts a notice
    until(lambda: old.watches, "a watch at the old address")
    assert program.hand_in("early", left=1) == 202
    until(lambda: len(old.notice_answers) < 10_000, "a notice that the old address rejected")
    new.watch_bodies = [json.dumps(old.members("Terminating", 2)).encode()]
    program.move(new)
    until(lambda: [line["id"] for line in new.notices] == ["early"], "the notice at the new address")
    until(lambda: new.watches > 1, "the watch at the new address")
    seen = old.watches
    assert program.hand_in("late", left=300) == 202  # by the new address's list all endpoints drain
    until(lambda: [line["id"] for line in new.notices] == ["early", "late"], "its notice")
    assert not old.calls and not new.calls and not old.notices and old.watches == seen


def test_watch_interrupted_by_a_reload_is_not_a_failure(program: Program, peers: list[Peer]) -> None:
    old, new = peers
    until(lambda: old.watches, "a watch at the old address")
    old.answer_watches.clear()
    until(lambda: old.hanging, "a watch that hangs")
    program.move(new)
    until(lambda: new.watches > 1, "the watch at the new address")
    assert not events(program, "discovery failed")
    old.answer_watches.set()


def test_list_of_the_new_address_is_fetched_whole(program: Program, peers: list[Peer]) -> None:
    old, new = peers
    with old.lock:
        old.answer_watches.clear()
        old.watch_bodies = [json.dumps({**old.members(), "index": 40}).encode()]
    until(lambda: not old.watch_bodies and "since=40" in old.list_targets[-1], "its list is read")
    program.move(new)
    until(lambda: "/catalog/members" in new.list_targets, "the whole list")


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("{", "RELAY_CONFIG: "),
        ("[" * 100_000, ""),
        ('{"discovery": "nowhere"}', "discovery: "),
        ('{"listen": "127.0.0.1:1"}', "listen: "),
        ('{"settings": {"classes": []}}', "settings.classes: "),
        ('{"known": {"index": "x"}}', "known: "),
    ],
)
def test_invalid_file_is_logged_with_its_key_and_changes_nothing(
    program: Program, peers: list[Peer], text: str, key: str
) -> None:
    old, new = peers
    raw = json.loads(program.file.read_text())
    if text.endswith("}"):
        raw = {**raw, "discovery": f"127.0.0.1:{new.port}", **json.loads(text)}
        text = json.dumps(raw)
    program.reload(text)
    until(lambda: events(program, "configuration not reloaded"), "the log line")
    assert events(program, "configuration not reloaded")[0]["error"].startswith(key)
    seen = old.watches
    until(lambda: old.watches > seen, "the watch goes on")
    assert program.hand_in("a") == 202 and not new.watches
    assert program.process.poll() is None


def test_repeated_reloads_under_load_and_a_restart(program: Program, peers: list[Peer]) -> None:
    ids = [f"m{n}" for n in range(40)]
    for n, id in enumerate(ids):
        assert program.hand_in(id) == 202
        if n % 8 == 7:
            program.move(peers[n // 8 % 2])
    program.move(peers[1])
    program.end(signal.SIGTERM)
    program.start()
    until(lambda: set(ids) <= {*peers[0].ids(), *peers[1].ids()}, "all calls")
    seen = peers[0].watches
    until(lambda: program.hand_in("after") == 200, "the sender serves")
    until(lambda: peers[1].watches > 2, "the watch at the address in the file")
    assert peers[0].watches == seen


def test_file_takes_precedence_over_the_environment_for_discovery_only(tmp_path: Path) -> None:
    env = {"RELAY_LISTEN": "127.0.0.3:1", "RELAY_DISCOVERY": "127.0.0.3:2"}
    read = config.read(make(tmp_path), env)
    assert (read.listen, read.discovery) == (("127.0.0.3", 1), ("127.0.0.1", 9))
    without = make(tmp_path)
    del without["discovery"]
    assert config.read(without, env).discovery == ("127.0.0.3", 2)
