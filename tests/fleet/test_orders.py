"""Orders over the control socket, by size: what has room is taken, what is too large is refused by name."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from springspread.cli.main import cli
from springspread.core.clock import SYSTEM
from springspread.core.types import Endpoint
from springspread.fleet import control as control_module
from springspread.fleet import plan as plan_module
from springspread.fleet.client import FleetShares
from springspread.fleet.control import MAX_ORDER_BYTES, ControlSocket
from springspread.fleet.control_client import send_order
from springspread.fleet.daemon import Daemon
from springspread.fleet.key_health import OPENING_FAILURES
from springspread.fleet.launcher import fleet_id
from springspread.fleet.limits import Limit, LimitMode
from springspread.fleet.plan import read_fleet
from springspread.rollout import document
from springspread.rollout.document import MAX_POLICY_BYTES, Policy
from tests.fleet.test_allocator_server import NullLog
from tests.peer import serve_connections, until
from tests.test_config import make

TOML = """folder = "fleet"
config = "sender.json"
instances = 0
[limits.g7]
calls = 50
span_ms = 10.0
"""
LONG_KEYS = {f"g{'x' * (MAX_POLICY_BYTES // 4)}{number}": Limit(5, 10.0) for number in range(4)}


class Place:
    """A fleet's file and a daemon without instances."""

    def __init__(self, folder: Path) -> None:
        self.settings: dict[str, Any] = make(folder)["settings"]
        (folder / "sender.json").write_text(json.dumps(make(folder)))
        self.file = folder / "fleet.toml"
        self.file.write_text(TOML)
        self.daemon = Daemon(read_fleet(self.file), NullLog())
        self.control = self.daemon.folder / "control"

    def propose(self, limits: dict[str, Limit]) -> dict[str, Any]:
        text = Policy(self.settings, limits).text
        return send_order(self.control, {"do": "propose", "policy": text, "within": 20.0}, 20.0)

    def command(self, *words: str) -> tuple[int, str]:
        """The exit status and the words of ``fleet policy WORDS`` with the file."""
        result = CliRunner().invoke(cli, ["fleet", "policy", words[0], str(self.file), *words[1:]])
        return result.exit_code, result.output


@pytest.fixture
def place(tmp_path: Path) -> Iterator[Place]:
    made = Place(tmp_path)
    yield made
    made.daemon.detach()


def test_a_policy_of_140_000_limits_takes_hold(place: Place) -> None:
    limits = {f"g{number}": Limit(50, 10.0, LimitMode.ADAPTIVE) for number in range(140_000)}
    answer = place.propose(limits)
    assert (answer["ok"], answer["state"], answer["version"]) == (True, "in force", 2)
    kept = send_order(place.control, {"do": "text", "version": 2})
    assert kept["policy"] == Policy(place.settings, limits).text


def test_the_default_mode_of_a_policy_reaches_the_allocator_and_its_successor(place: Place) -> None:
    text = Policy(place.settings, {"g7": Limit(50, 10.0)}, LimitMode.ADAPTIVE).text
    answer = send_order(place.control, {"do": "propose", "policy": text, "within": 5.0}, 5.0)
    assert answer["state"] == "in force"

    def default_mode() -> LimitMode:
        return place.daemon._server.control._default_mode

    until(lambda: default_mode() is LimitMode.ADAPTIVE, "unknown keys are free")
    place.daemon.detach()
    place.daemon = Daemon(read_fleet(place.file), NullLog())
    assert default_mode() is LimitMode.ADAPTIVE


def test_the_daemon_refuses_a_policy_that_is_too_large_by_size_and_bound(place: Place) -> None:
    policy = Policy(
        place.settings, {f"g{'x' * (MAX_POLICY_BYTES // 4)}{n}": Limit(5, 10.0) for n in range(4)}
    )
    fault = f"limits: the policy has {len(policy.text):,} bytes; the bound is {MAX_POLICY_BYTES:,}"
    order = {"policy": policy.text, "within": 5.0}
    proposed = send_order(place.control, {"do": "propose", **order})
    assert proposed == {"ok": True, "state": "refused", "version": 0, "fault": fault}
    checked = send_order(place.control, {"do": "check", **order})
    assert not checked["usable"] and checked["fault"] == fault
    assert send_order(place.control, {"do": "policy"})["in_force"]["version"] == 1


def test_the_rest_of_an_order_that_is_too_long_is_read_before_it_is_refused(tmp_path: Path) -> None:
    control = ControlSocket(tmp_path / "control", lambda order: {"order": order}, NullLog(), SYSTEM)
    order = {"do": "propose", "policy": "x" * (MAX_ORDER_BYTES + 5_000_000), "within": 5.0}
    size = len(json.dumps(order)) + 1
    fault = f"the order has {size:,} bytes; the bound is {MAX_ORDER_BYTES:,}"
    assert send_order(tmp_path / "control", order) == {"ok": False, "fault": fault}
    assert send_order(tmp_path / "control", {"do": "status"}) == {"ok": True, "order": {"do": "status"}}
    control.close()


def test_a_long_answer_has_time_for_a_slow_reader(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The reader pauses for less than the longest pause each time, and for more than it in all."""
    monkeypatch.setattr(control_module, "IDLE_TIMEOUT_S", 1.0)
    policy = "x" * 3_000_000
    control = ControlSocket(tmp_path / "control", lambda order: {"policy": policy}, NullLog(), SYSTEM)
    answer = bytearray()
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(10.0)
        sock.connect(str(tmp_path / "control"))
        sock.sendall(b"{}\n")
        while received := sock.recv(1 << 16):
            answer += received
            SYSTEM.sleep(40.0)  # the reader's pace; nothing is waited for
    assert json.loads(answer) == {"ok": True, "policy": policy}
    control.close()


def test_an_answer_that_nobody_reads_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control_module, "ANSWER_TIMEOUT_MS", 0.0)
    here, there = socket.socketpair()
    here.settimeout(0.01)
    with here, there:
        with pytest.raises(TimeoutError):
            control_module.send_answer(here, SYSTEM, b"x" * 10_000_000)
        here.settimeout(10.0)
        there.recv(1 << 20)
        with pytest.raises(TimeoutError, match="was not read in time"):
            control_module.send_answer(here, SYSTEM, b"x" * 10_000_000)


def test_an_answer_that_breaks_off_is_no_answer(tmp_path: Path) -> None:
    with socket.socket(socket.AF_UNIX) as listener:
        listener.bind(str(tmp_path / "control"))
        listener.listen()

        def answer_in_part(sock: socket.socket) -> None:
            sock.recv(100)
            sock.sendall(b'{"ok": true')
            sock.close()

        serve_connections(listener, answer_in_part)
        with pytest.raises(ConnectionError, match="truncated after 11 bytes"):
            send_order(tmp_path / "control", {"do": "status"})


def test_an_order_without_end_is_refused_after_a_bound(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(control_module, "MAX_ORDER_BYTES", 1000)
    monkeypatch.setattr(control_module, "MAX_DISCARDED_BYTES", 10_000)
    control = ControlSocket(tmp_path / "control", lambda order: {}, NullLog(), SYSTEM)
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(10.0)
        sock.connect(str(tmp_path / "control"))
        sent = 0
        with pytest.raises((BrokenPipeError, ConnectionResetError)):
            while sent < 100_000_000:
                sent += sock.send(b"x" * 1000)
        answer = json.loads(sock.recv(1000))
    assert not answer["ok"] and answer["fault"].startswith("the order has at least ")
    again = send_order(tmp_path / "control", {"policy": "x" * 1_000_000})
    assert again["fault"].startswith("the order has at least ")
    control.close()


def test_an_order_that_trickles_is_broken_off(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    class Hasty:
        """A clock that advances by a second with each reading."""

        def __init__(self) -> None:
            self.ms = 0.0

        def now(self) -> float:
            self.ms += 1_000.0
            return self.ms

        def wall(self) -> float:
            return self.ms

        def sleep(self, ms: float) -> None:
            self.ms += ms

    here, there = socket.socketpair()
    here.settimeout(10.0)
    there.sendall(b"x" * 20)
    monkeypatch.setattr(control_module, "READ_BYTES", 1)
    with here, there, pytest.raises(TimeoutError, match="did not arrive in time"):
        control_module.read_order(here, Hasty())


def test_a_file_over_a_bound_has_its_exit_status_with_key_and_bound(
    place: Place, monkeypatch: pytest.MonkeyPatch
) -> None:
    size = len(place.daemon.order({"do": "text", "version": 1})["policy"])
    monkeypatch.setattr(document, "MAX_POLICY_BYTES", size - 1)
    over = f"settings: the policy has {size:,} bytes; the bound is {size - 1:,}"
    config = place.file.parent / "sender.json"
    assert place.command("check") == (2, f"Error: {config}: {over}\n")
    assert place.command("propose") == (5, f"refused, in force nowhere: {config}: {over}\n")
    code, output = place.command("propose", "--json")
    assert code == 5
    assert json.loads(output) == {"state": "refused", "version": 0, "fault": f"{config}: {over}"}
    monkeypatch.setattr(plan_module, "MAX_LIMITS", 0)
    many = "limits: there are 1; the bound is 0"
    assert place.command("check") == (2, f"Error: {place.file}: {many}\n")
    assert place.command("propose") == (5, f"refused, in force nowhere: {place.file}: {many}\n")


def test_a_fleet_over_a_bound_does_not_start(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    (tmp_path / "sender.json").write_text(json.dumps(make(tmp_path)))
    file = tmp_path / "fleet.toml"
    file.write_text(TOML)
    for module, name, bound in ((document, "MAX_POLICY_BYTES", 10), (plan_module, "MAX_LIMITS", 0)):
        monkeypatch.setattr(module, name, bound)
        result = CliRunner().invoke(cli, ["fleet", "run", str(file)])
        assert result.exit_code == 2 and f"; the bound is {bound}\n" in result.output


def test_a_configuration_that_is_no_object_is_refused_by_its_file(tmp_path: Path) -> None:
    (tmp_path / "sender.json").write_text("[]")
    file = tmp_path / "fleet.toml"
    file.write_text(TOML)
    result = CliRunner().invoke(cli, ["fleet", "run", str(file)])
    assert result.exit_code == 1
    assert result.output == f"Error: {tmp_path / 'sender.json'}: must hold an object\n"


def test_a_refusal_by_the_daemon_is_a_refused_proposal(place: Place, monkeypatch: pytest.MonkeyPatch) -> None:
    """As of a daemon whose bound is lower than the command's."""
    monkeypatch.setattr(control_module, "MAX_ORDER_BYTES", 100)
    code, output = place.command("propose")
    assert code == 5 and output.startswith("refused, in force nowhere: the order has ")
    assert output.endswith("; the bound is 100\n")


def test_without_a_daemon_the_command_reports_that_none_answers(place: Place) -> None:
    place.daemon.detach()
    code, output = place.command("propose")
    assert code == 1 and "no daemon answers" in output


def test_the_limits_order_shows_which_adaptive_limits_are_bound_and_why(place: Place) -> None:
    limits = {"g7": Limit(50, 2_000.0, LimitMode.ADAPTIVE), "g8": Limit(5, 2_000.0)}
    text = Policy(place.settings, limits, LimitMode.ADAPTIVE).text
    assert (
        send_order(place.control, {"do": "propose", "policy": text, "within": 5.0}, 5.0)["state"]
        == "in force"
    )
    until(lambda: place.daemon._server.control.limit("g7") == limits["g7"], "the limits are in force")
    shown = send_order(place.control, {"do": "limits"})["limits"]
    assert shown == {"limits": 2, "adaptive_bound": 0, "bound": {}}
    folder = place.daemon.folder
    shares = FleetShares(folder / "allot", "n9", 1, NullLog(), fleet=fleet_id(folder))
    endpoint = Endpoint(1, "s-1", "127.0.0.1", 1, 7, False, 1)

    for _ in range(OPENING_FAILURES):
        until(lambda: shares.acquire(endpoint) > 0.0, "a call may begin")
        shares.failed(endpoint)
    until(lambda: shares.acquire(endpoint) > 0.0, "one more is tried")
    shares.served(endpoint)
    until(
        lambda: send_order(place.control, {"do": "limits"})["limits"]["adaptive_bound"],
        "a destination that is back is bound",
    )
    assert send_order(place.control, {"do": "limits"})["limits"]["bound"] == {"g7": "the destination is back"}
    shares.close()
