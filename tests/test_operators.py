"""The operators' API of a running program: readiness, metrics, drain, and callers that send nothing."""

from __future__ import annotations

import http.client
import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from springspread import config
from springspread.config import ConfigError
from tests.peer import WAIT_S, Peer, Program, until
from tests.test_config import make


class Managed(Program):
    """A program with an address for operators."""

    def __init__(self, folder: Path, peer: Peer) -> None:
        with socket.create_server(("127.0.0.1", 0)) as unused:
            self.mgmt: tuple[str, int] = unused.getsockname()
        os.environ["RELAY_MGMT"] = f"{self.mgmt[0]}:{self.mgmt[1]}"
        try:
            super().__init__(folder, peer)
        finally:
            del os.environ["RELAY_MGMT"]

    def operator(self, method: str, path: str) -> tuple[int, str]:
        connection = http.client.HTTPConnection(*self.mgmt, timeout=1.0)
        connection.request(method, path)
        answer = connection.getresponse()
        text = answer.read().decode()
        connection.close()
        return answer.status, text

    def figures(self) -> dict[str, int]:
        lines = [line for line in self.operator("GET", "/metrics")[1].splitlines() if line[0] != "#"]
        return {name: int(value) for name, value in (line.split() for line in lines)}

    def health(self) -> int:
        connection = self.connect()
        connection.request("GET", "/_health")
        status = connection.getresponse().status
        connection.close()
        return status


@pytest.fixture
def program(tmp_path: Path, peer: Peer) -> Managed:
    return Managed(tmp_path, peer)


def test_list_changes_and_failures_are_logged_and_counted(program: Managed, peer: Peer) -> None:
    """A drained endpoint and a failed list request are logged and counted."""
    with peer.lock:
        peer.watch_bodies += [b"{", json.dumps(peer.members("Terminating", 2)).encode()]
    until(lambda: program.figures()["sender_list_version"] == 2, "the list with the drained endpoint")
    figures = program.figures()
    assert figures['sender_list_failures_total{reason="silent"}'] == 1
    assert 0 <= figures["sender_list_age_ms"] < 60_000
    failed = next(line for line in program.log if line["event"] == "discovery failed")
    assert failed["since"] == 1 and failed["again_within_ms"] > 0.0 and failed["took_ms"] >= 0.0
    until(lambda: any(line["event"] == "endpoint" for line in program.log), "the endpoint's log line")
    changed = next(line for line in program.log if line["event"] == "endpoint")
    assert (changed["endpoint"], changed["before"], changed["state"]) == ("s-0", "ready", "draining")
    assert changed["version"] == 2 and 0.0 <= changed["notified_ms_ago"] < 10_000.0
    received = next(line for line in program.log if line["event"] == "list received")
    assert (received["scope"], received["version"], received["lines"]) == ("whole", 2, 1)


def test_each_message_is_counted_once_by_class(program: Managed, peer: Peer) -> None:
    assert program.operator("GET", "/ready")[0] == 200
    peer.answers = [(200, {}), (500, {})]
    assert [program.hand_in("a"), program.hand_in("b", cls="pay")] == [202, 202]
    until(lambda: peer.notices, "the notice that the payment is undeliverable")
    until(lambda: program.figures()['sender_failed_total{class="pay"}'] == 1, "its failure to be counted")
    figures = program.figures()
    assert figures['sender_served_total{class="note"}'] == 1
    assert [figures[f'sender_attempts_total{{class="{cls}"}}'] for cls in ("note", "pay")] == [1, 1]
    assert figures['sender_refused_total{class="note"}'] == figures["sender_in_flight"] == 0
    assert figures["sender_endpoints_known"] == 1
    peer.answer_calls.clear()
    program.hand_in("c")
    until(lambda: program.figures()["sender_in_flight"] == 1, "the message to be in flight")
    # The call begins shortly after; there is no other until it ends.
    until(lambda: program.figures()['sender_attempts_total{class="note"}'] == 2, "its call to begin")
    assert program.figures()["sender_in_flight"] == 1


def test_a_drain_disconnects_clients_and_the_process_continues(program: Managed, peer: Peer) -> None:
    idle = program.connect()
    idle.request("GET", "/_health")
    assert idle.getresponse().read() == b"" and program.health() == 200
    peer.answer_calls.clear()
    assert program.hand_in("a") == 202
    assert program.operator("POST", "/drain")[0] == program.operator("POST", "/drain")[0] == 200
    assert program.health() == 503 and idle.sock is not None
    idle.sock.settimeout(WAIT_S)
    assert idle.sock.recv(1) == b""  # disconnected
    assert program.operator("GET", "/ready")[0] == 200
    peer.answer_calls.set()
    until(
        lambda: program.figures()['sender_served_total{class="note"}'] == 1,
        "the accepted message to be delivered",
    )
    assert program.operator("POST", "/undrain")[0] == 200
    assert program.health() == 200 and program.hand_in("b") == 202
    assert program.process.poll() is None


def test_invalid_requests_are_answered_and_silent_callers_time_out(program: Managed) -> None:
    assert program.operator("GET", "/nothing")[0] == 404
    assert program.operator("GET", "/drain")[0] == 405 == program.operator("POST", "/metrics")[0]
    silent = [socket.create_connection(program.mgmt, WAIT_S) for _ in range(40)]
    for n, sock in enumerate(silent):
        sock.sendall(b"GET /metr"[: n % 9])
    start = time.monotonic()
    assert program.operator("GET", "/ready")[0] == 200
    assert time.monotonic() - start < 1.0
    for sock in silent:
        while sock.recv(4096):
            pass
        sock.close()
    with socket.create_connection(program.mgmt, WAIT_S) as sock:
        sock.sendall(b"\x00\x01\r\n\r\n")
        assert b" 400 " in sock.recv(4096)


def test_an_unusable_address_is_reported(tmp_path: Path, peer: Peer) -> None:
    with pytest.raises(ConfigError, match="mgmt: not an address"):
        config.read(make(tmp_path, mgmt="here"), {})
    state, file = tmp_path / "state", tmp_path / "config.json"
    state.mkdir()
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        address = f"127.0.0.1:{occupied.getsockname()[1]}"
        raw = make(state, discovery=f"127.0.0.1:{peer.port}", known=peer.members(), mgmt=address)
        file.write_text(json.dumps(raw))
        env = {**os.environ, "RELAY_CONFIG": str(file)}
        command = [sys.executable, "-m", "springspread"]
        result = subprocess.run(command, env=env, capture_output=True, text=True, timeout=WAIT_S)
    assert result.returncode == 2 and f"mgmt: {address}: Address already in use" in result.stderr
