"""The listener over loopback: crowds, slow and deaf clients, descriptors used up, the end of the process."""

from __future__ import annotations

import os
import resource
import selectors
import signal
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from springspread.config import Limits
from tests.peer import WAIT_S, Peer, Program, until

OWED_S = 3.0
HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
KINDS = (b"", HEALTH, b"POST /api HTTP/1.1\r\nContent-Le")


@pytest.fixture
def program(tmp_path: Path, peer: Peer, kill_at_teardown: Callable[[Program], None]) -> Program:
    made = Program(tmp_path, peer, sockets=192)
    kill_at_teardown(made)
    return made


class Crowd:
    """Opens connections of three kinds at a rate and notes how long each waited to hear something."""

    def __init__(self, address: tuple[str, int], rate: float) -> None:
        self.address, self.rate = address, rate
        self.opened = 0
        self.waits: list[float] = []
        self.open = True
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        selector, start = selectors.DefaultSelector(), time.monotonic()
        silent: dict[socket.socket, float] = {}
        while self.open or silent:
            now = time.monotonic()
            while self.open and self.opened < (now - start) * self.rate:
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(self.address)
                selector.register(sock, selectors.EVENT_WRITE, KINDS[self.opened % 3])
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
            for sock in [sock for sock, at in silent.items() if now - at > 2 * OWED_S]:
                self.waits.append(now - silent.pop(sock))
        for key in list(selector.get_map().values()):
            key.fileobj.close()  # type: ignore[union-attr]

    def end(self) -> None:
        self.open = False
        self.thread.join(WAIT_S)
        assert not self.thread.is_alive()


def descriptors(program: Program) -> int:
    return len(os.listdir(f"/proc/{program.process.pid}/fd"))


def threads(program: Program) -> int:
    return len(os.listdir(f"/proc/{program.process.pid}/task"))


def test_a_crowd_of_600_a_second_blocks_nobody(program: Program, peer: Peer) -> None:
    crowd = Crowd(program.address, 600.0)
    took, most = [], 0
    for n in range(60):
        begun = time.monotonic()
        assert program.hand_in(f"usual-{n}") == 202
        took.append(time.monotonic() - begun)
        most = max(most, descriptors(program))
        time.sleep(0.03)
    crowd.end()
    assert max(took) < 0.4 and most < 192
    assert crowd.opened > 600 and max(crowd.waits) < OWED_S and len(crowd.waits) == crowd.opened


def test_a_crowd_through_a_planned_restart_loses_no_message(program: Program, peer: Peer) -> None:
    crowd = Crowd(program.address, 300.0)
    told: dict[str, int] = {}

    def usual(id: str) -> None:
        try:
            told[id] = program.hand_in(id)
        except OSError:
            told[id] = 0  # a connection refused, or reset before anything was read: handed in elsewhere

    hands = []
    for n in range(40):
        if n == 15:
            program.process.send_signal(signal.SIGTERM)
        hands.append(threading.Thread(target=usual, args=(f"u{n}",)))
        hands[-1].start()
        time.sleep(0.02)
    for hand in hands:
        hand.join()
    assert program.process.wait(WAIT_S) == 0
    crowd.end()
    program.start()
    assert program.hand_in("after") == 202
    taken = {id for id, status in told.items() if status == 202}
    assert {f"u{n}" for n in range(35)} <= taken  # 0.5 s after the signal, too
    until(lambda: taken <= set(peer.ids()), "every message that was taken on")
    assert len(peer.ids()) == len(set(peer.ids()))


def test_a_byte_now_and_then_is_below_the_least_rate(program: Program) -> None:
    with socket.create_connection(program.address, timeout=WAIT_S) as sock:
        begun = time.monotonic()
        sock.sendall(b"P")
        time.sleep(0.2)
        sock.sendall(b"O")
        assert sock.recv(4096).startswith(b"HTTP/1.1 408 ")
        assert time.monotonic() - begun < 0.001 * Limits().client_read_ms


def test_a_client_that_never_reads_is_ended_and_costs_others_nothing(program: Program) -> None:
    deaf = socket.socket()
    deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    deaf.connect(program.address)
    deaf.settimeout(0.2)
    begun = time.monotonic()
    ended = False
    while not ended and time.monotonic() < begun + WAIT_S:
        try:
            deaf.send(HEALTH * 1000)
        except TimeoutError:
            pass  # it reads no more from us, as we read nothing
        except OSError:
            ended = True
        assert program.hand_in(f"beside-{time.monotonic()}") in (202, 503)
    assert ended
    deaf.close()


def test_clients_cost_no_threads(program: Program) -> None:
    before = threads(program)
    socks = [socket.create_connection(program.address, timeout=WAIT_S) for _ in range(40)]
    for sock in socks:
        sock.sendall(HEALTH)
    for sock in socks:
        assert sock.recv(4096).startswith(b"HTTP/1.1 200 ")
    assert threads(program) == before
    for sock in socks:
        sock.close()


def test_descriptors_used_up_for_a_second_are_lived_through(program: Program) -> None:
    assert program.hand_in("before") == 202
    pid = program.process.pid
    usual = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (descriptors(program), usual[1]))
    socks = [socket.create_connection(program.address, timeout=WAIT_S) for _ in range(5)]
    until(lambda: [line for line in program.log if line["event"] == "accept failed"], "the fault in the log")
    resource.prlimit(pid, resource.RLIMIT_NOFILE, usual)
    for sock in socks:
        sock.sendall(HEALTH)
        assert sock.recv(4096).startswith(b"HTTP/1.1 200 ")
        sock.close()
    assert program.hand_in("after") == 202
