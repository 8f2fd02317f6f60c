"""The listener over loopback: floods of clients, slow ones, exhausted descriptors, and shutdown."""

from __future__ import annotations

import os
import resource
import selectors
import signal
import socket
import threading
import time
from pathlib import Path

import pytest

from springspread.config import Limits
from tests.peer import WAIT_S, Peer, Program, until

MAX_WAIT_S = 3.0
HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
FIRST_BYTES = (b"", HEALTH, b"POST /api HTTP/1.1\r\nContent-Le")


@pytest.fixture
def program(tmp_path: Path, peer: Peer) -> Program:
    return Program(tmp_path, peer, sockets=192)


class Crowd:
    """Opens connections of three kinds at a rate, and records how long each waits for its answer or end."""

    def __init__(self, address: tuple[str, int], rate: float) -> None:
        self.address, self.rate = address, rate
        self.opened = 0
        self.waits: list[float] = []
        self.running = True
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        selector, start = selectors.DefaultSelector(), time.monotonic()
        silent: dict[socket.socket, float] = {}
        while self.running or silent:
            now = time.monotonic()
            while self.running and self.opened < (now - start) * self.rate:
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(self.address)
                selector.register(sock, selectors.EVENT_WRITE, FIRST_BYTES[self.opened % 3])
                silent[sock] = now
                self.opened += 1
            for key, events in selector.select(0.005):
                sock = key.fileobj  # type: ignore[assignment]
                try:
                    if events & selectors.EVENT_WRITE:
                        sock.send(key.data)
                        selector.modify(sock, selectors.EVENT_READ)
                        continue
                    data = sock.recv(4096)
                except OSError:
                    data = b""
                if sock in silent:
                    self.waits.append(time.monotonic() - silent.pop(sock))
                if not data:
                    selector.unregister(sock)
                    sock.close()
            for sock in [sock for sock, at in silent.items() if now - at > 2 * MAX_WAIT_S]:
                self.waits.append(now - silent.pop(sock))
        for key in list(selector.get_map().values()):
            key.fileobj.close()  # type: ignore[union-attr]

    def end(self) -> None:
        self.running = False
        self.thread.join(WAIT_S)
        assert not self.thread.is_alive()


def descriptors(program: Program) -> int:
    return len(os.listdir(f"/proc/{program.process.pid}/fd"))


def threads(program: Program) -> int:
    return len(os.listdir(f"/proc/{program.process.pid}/task"))


def test_600_connections_per_second_block_no_client(program: Program, peer: Peer) -> None:
    crowd = Crowd(program.address, 600.0)
    durations, max_descriptors = [], 0
    for n in range(60):
        begun = time.monotonic()
        assert program.hand_in(f"usual-{n}") == 202
        durations.append(time.monotonic() - begun)
        max_descriptors = max(max_descriptors, descriptors(program))
        time.sleep(0.03)
    crowd.end()
    assert max(durations) < 0.4 and max_descriptors < 192
    assert crowd.opened > 600 and max(crowd.waits) < MAX_WAIT_S and len(crowd.waits) == crowd.opened


def test_a_restart_under_many_connections_loses_no_message(program: Program, peer: Peer) -> None:
    crowd = Crowd(program.address, 300.0)
    statuses: dict[str, int] = {}

    def submit(id: str) -> None:
        try:
            statuses[id] = program.hand_in(id)
        except OSError:
            statuses[id] = 0  # refused, or reset before anything was read: the client would go elsewhere

    clients = []
    for n in range(40):
        if n == 15:
            program.process.send_signal(signal.SIGTERM)
        clients.append(threading.Thread(target=submit, args=(f"u{n}",)))
        clients[-1].start()
        time.sleep(0.02)
    for thread in clients:
        thread.join()
    assert program.process.wait(WAIT_S) == 0
    crowd.end()
    program.start()
    assert program.hand_in("after") == 202
    accepted = {id for id, status in statuses.items() if status == 202}
    assert {f"u{n}" for n in range(35)} <= accepted  # including those sent within 0.5 s after the signal
    until(lambda: accepted <= set(peer.ids()), "every accepted message")
    assert len(peer.ids()) == len(set(peer.ids()))


def test_a_request_below_the_minimum_rate_times_out(program: Program) -> None:
    with socket.create_connection(program.address, timeout=WAIT_S) as sock:
        begun = time.monotonic()
        sock.sendall(b"P")
        time.sleep(0.2)
        sock.sendall(b"O")
        assert sock.recv(4096).startswith(b"HTTP/1.1 408 ")
        assert time.monotonic() - begun < 0.001 * Limits().client_read_ms


def test_a_client_that_never_reads_is_disconnected_and_blocks_no_other(program: Program) -> None:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(program.address)
    sock.settimeout(0.2)
    begun = time.monotonic()
    ended = False
    while not ended and time.monotonic() < begun + WAIT_S:
        try:
            sock.send(HEALTH * 1000)
        except TimeoutError:
            pass  # the sender stops reading from a client that does not read
        except OSError:
            ended = True
        assert program.hand_in(f"beside-{time.monotonic()}") in (202, 503)
    assert ended
    sock.close()


def test_clients_need_no_threads(program: Program) -> None:
    before = threads(program)
    socks = [socket.create_connection(program.address, timeout=WAIT_S) for _ in range(40)]
    for sock in socks:
        sock.sendall(HEALTH)
    for sock in socks:
        assert sock.recv(4096).startswith(b"HTTP/1.1 200 ")
    assert threads(program) == before
    for sock in socks:
        sock.close()


def test_the_listener_recovers_when_descriptors_run_out(program: Program) -> None:
    assert program.hand_in("before") == 202
    pid = program.process.pid
    normal_limit = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (descriptors(program), normal_limit[1]))
    socks = [socket.create_connection(program.address, timeout=WAIT_S) for _ in range(5)]
    until(lambda: [line for line in program.log if line["event"] == "accept failed"], "the error in the log")
    resource.prlimit(pid, resource.RLIMIT_NOFILE, normal_limit)
    for sock in socks:
        sock.sendall(HEALTH)
        assert sock.recv(4096).startswith(b"HTTP/1.1 200 ")
        sock.close()
    assert program.hand_in("after") == 202
