"""Orders over the control socket: large ones within the bounds, and refusals of those beyond."""

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


class DaemonHarness:
    """A fleet with its file and a daemon without instances."""

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
        """The exit status and the output of ``fleet policy WORDS`` for the file."""
        result = CliRunner().invoke(cli, ["fleet", "policy", words[0], str(self.file), *words[1:]])
        return result.exit_code, result.output


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[DaemonHarness]:
    running = DaemonHarness(tmp_path)
    yield running
    running.daemon.detach()


def test_policy_of_140_000_limits_comes_into_force(harness: DaemonHarness) -> None:
    limits = {f"g{number}": Limit(50, 10.0, LimitMode.ADAPTIVE) for number in range(140_000)}
    answer = harness.propose(limits)
    assert (answer["ok"], answer["state"], answer["version"]) == (True, "in force", 2)
    kept = send_order(harness.control, {"do": "text", "version": 2})
    assert kept["policy"] == Policy(harness.settings, limits).text


def test_default_mode_reaches_the_allocator_and_its_successor(harness: DaemonHarness) -> None:
    text = Policy(harness.settings, {"g7": Limit(50, 10.0)}, LimitMode.ADAPTIVE).text
    answer = send_order(harness.control, {"do": "propose", "policy": text, "within": 5.0}, 5.0)
    assert answer["state"] == "in force"

    def default_mode() -> LimitMode:
        return harness.daemon._server.control._default_mode

    until(lambda: default_mode() is LimitMode.ADAPTIVE, "unknown keys are free")
    harness.daemon.detach()
    harness.daemon = Daemon(read_fleet(harness.file), NullLog())
    assert default_mode() is LimitMode.ADAPTIVE


def test_too_large_policy_is_refused_with_its_size_and_bound(harness: DaemonHarness) -> None:
    policy = Policy(
        harness.settings, {f"g{'x' * (MAX_POLICY_BYTES // 4)}{n}": Limit(5, 10.0) for n in range(4)}
    )
    fault = f"limits: the policy has {len(policy.text):,} bytes; the bound is {MAX_POLICY_BYTES:,}"
    order = {"policy": policy.text, "within": 5.0}
    proposed = send_order(harness.control, {"do": "propose", **order})
    assert proposed == {"ok": True, "state": "refused", "version": 0, "fault": fault}
    checked = send_order(harness.control, {"do": "check", **order})
    assert not checked["usable"] and checked["fault"] == fault
    assert send_order(harness.control, {"do": "policy"})["in_force"]["version"] == 1


def test_too_long_order_is_read_to_its_end_before_it_is_refused(tmp_path: Path) -> None:
    control = ControlSocket(tmp_path / "control", lambda order: {"order": order}, NullLog(), SYSTEM)
    order = {"do": "propose", "policy": "x" * (MAX_ORDER_BYTES + 5_000_000), "within": 5.0}
    size = len(json.dumps(order)) + 1
    fault = f"the order has {size:,} bytes; the bound is {MAX_ORDER_BYTES:,}"
    assert send_order(tmp_path / "control", order) == {"ok": False, "fault": fault}
    assert send_order(tmp_path / "control", {"do": "status"}) == {"ok": True, "order": {"do": "status"}}
    control.close()


def test_slow_reader_gets_the_whole_of_a_long_answer(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each pause of the reader is below the idle timeout, their sum above it."""
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
            SYSTEM.sleep(40.0)  # between two reads
    assert json.loads(answer) == {"ok": True, "policy": policy}
    control.close()


def test_unread_answer_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_truncated_answer_raises(tmp_path: Path) -> None:
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


def test_endless_order_is_refused_after_a_bound(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_slow_order_times_out(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    class FastClock:
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
        control_module.read_order(here, FastClock())


def test_file_over_a_bound_has_its_own_exit_status_and_message(
    harness: DaemonHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    size = len(harness.daemon.order({"do": "text", "version": 1})["policy"])
    monkeypatch.setattr(document, "MAX_POLICY_BYTES", size - 1)
    over = f"settings: the policy has {size:,} bytes; the bound is {size - 1:,}"
    config = harness.file.parent / "sender.json"
    assert harness.command("check") == (2, f"Error: {config}: {over}\n")
    assert harness.command("propose") == (5, f"refused, in force nowhere: {config}: {over}\n")
    code, output = harness.command("propose", "--json")
    assert code == 5
    assert json.loads(output) == {"state": "refused", "version": 0, "fault": f"{config}: {over}"}
    monkeypatch.setattr(plan_module, "MAX_LIMITS", 0)
    many = "limits: there are 1; the bound is 0"
    assert harness.command("check") == (2, f"Error: {harness.file}: {many}\n")
    assert harness.command("propose") == (5, f"refused, in force nowhere: {harness.file}: {many}\n")


def test_fleet_over_a_bound_does_not_start(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    (tmp_path / "sender.json").write_text(json.dumps(make(tmp_path)))
    file = tmp_path / "fleet.toml"
    file.write_text(TOML)
    for module, name, bound in ((document, "MAX_POLICY_BYTES", 10), (plan_module, "MAX_LIMITS", 0)):
        monkeypatch.setattr(module, name, bound)
        result = CliRunner().invoke(cli, ["fleet", "run", str(file)])
        assert result.exit_code == 2 and f"; the bound is {bound}\n" in result.output


def test_configuration_that_is_no_object_is_refused_with_its_file(tmp_path: Path) -> None:
    (tmp_path / "sender.json").write_text("[]")
    file = tmp_path / "fleet.toml"
    file.write_text(TOML)
    result = CliRunner().invoke(cli, ["fleet", "run", str(file)])
    assert result.exit_code == 1
    assert result.output == f"Error: {tmp_path / 'sender.json'}: must hold an object\n"


def test_refusal_by_the_daemon_is_a_refused_proposal(
    harness: DaemonHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a daemon with a lower bound than the command's."""
    monkeypatch.setattr(control_module, "MAX_ORDER_BYTES", 100)
    code, output = harness.command("propose")
    assert code == 5 and output.startswith("refused, in force nowhere: the order has ")
    assert output.endswith("; the bound is 100\n")


def test_command_without_a_daemon_reports_that_none_answers(harness: DaemonHarness) -> None:
    harness.daemon.detach()
    code, output = harness.command("propose")
    assert code == 1 and "no daemon answers" in output


def test_limits_order_shows_which_adaptive_limits_are_bound_and_why(harness: DaemonHarness) -> None:
    limits = {"g7": Limit(50, 2_000.0, LimitMode.ADAPTIVE), "g8": Limit(5, 2_000.0)}
    text = Policy(harness.settings, limits, LimitMode.ADAPTIVE).text
    assert (
        send_order(harness.control, {"do": "propose", "policy": text, "within": 5.0}, 5.0)["state"]
        == "in force"
    )
    until(lambda: harness.daemon._server.control.limit("g7") == limits["g7"], "the limits are in force")
    shown = send_order(harness.control, {"do": "limits"})["limits"]
    assert shown == {"limits": 2, "adaptive_bound": 0, "bound": {}}
    folder = harness.daemon.folder
    shares = FleetShares(folder / "allot", "n9", 1, NullLog(), fleet=fleet_id(folder))
    endpoint = Endpoint(1, "s-1", "127.0.0.1", 1, 7, False, 1)

    for _ in range(OPENING_FAILURES):
        until(lambda: shares.acquire(endpoint) > 0.0, "a call may begin")
        shares.failed(endpoint)
    until(lambda: shares.acquire(endpoint) > 0.0, "one more is tried")
    shares.served(endpoint)
    until(
        lambda: send_order(harness.control, {"do": "limits"})["limits"]["adaptive_bound"],
        "a destination that is back is bound",
    )
    assert send_order(harness.control, {"do": "limits"})["limits"]["bound"] == {
        "g7": "the destination is back"
    }
    shares.close()
