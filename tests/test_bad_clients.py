"""Bad clients over loopback: each receives an error or is disconnected in time; others are still served."""

from __future__ import annotations

import os
import select
import socket
import time
from pathlib import Path

import pytest

from springspread.net.listener import OVERLOADED
from tests.peer import WAIT_S, Peer, Program, until

DISCONNECT_WITHIN_S = 3.0
MESSAGE_HEADERS = (
    b"X-Correlation-Id: %s\r\nX-Service-Class: note\r\nX-Time-Left-Ms: 5000\r\nX-Consignee: dest=7\r\n"
)
POST_API = b"POST /api HTTP/1.1\r\nHost: x\r\n"
SMUGGLED = POST_API + MESSAGE_HEADERS % b"hidden" + b"Content-Length: 2\r\n\r\nhi"


@pytest.fixture
def program(tmp_path: Path, peer: Peer) -> Program:
    return Program(tmp_path, peer, sockets=192)


def connect(program: Program) -> socket.socket:
    return socket.create_connection(program.address, timeout=WAIT_S)


def read_to_end(sock: socket.socket) -> bytes:
    """Read up to the end of the connection, or a reset."""
    data = b""
    try:
        while chunk := sock.recv(65536):
            data += chunk
    except ConnectionResetError:
        pass
    return data


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        (b"Content-Length: -2\r\n", 400),
        (b"Content-Length: ten\r\n", 400),
        (b"Content-Length: 99999999999999999999\r\n", 400),
        (b"Content-Length: 60000000\r\n", 413),
        (b"Content-Length: 0\r\nContent-Length: 0\r\n", 400),
        (b"Content-Length: 0\r\nTransfer-Encoding: chunked\r\n", 400),
        (b"Transfer-Encoding: chunked\r\n", 400),
        (b"", 411),
        (b"no colon\r\nContent-Length: 0\r\n", 400),
    ],
)
def test_no_byte_after_a_refused_length_is_parsed_as_a_request(
    program: Program, peer: Peer, fields: bytes, status: int
) -> None:
    with connect(program) as sock:
        sock.sendall(POST_API + MESSAGE_HEADERS % b"bad" + fields + b"\r\n" + SMUGGLED)
        assert read_to_end(sock).startswith(f"HTTP/1.1 {status} ".encode())
    assert program.hand_in("good") == 202
    until(lambda: peer.ids() == ["good"], "the one good message")


def test_slow_and_silent_clients_are_disconnected_in_time_however_often_they_write(program: Program) -> None:
    head = POST_API + MESSAGE_HEADERS % b"slow"
    cases = [b"", head, head + b"Content-Length: 200\r\n\r\n", b"\x16\x03\x01", b"GET / HTTP/1.1\n\n"]
    opened = time.monotonic()
    socks = {connect(program): case for case in cases}
    for sock, case in socks.items():
        sock.sendall(case)
    ended: dict[bytes, float] = {}
    while len(ended) < len(cases) and time.monotonic() < opened + WAIT_S:
        for sock, case in socks.items():
            if case not in ended and select.select([sock], [], [], 0.02)[0]:
                ended[case] = time.monotonic() - opened
            elif case and case not in ended:
                sock.sendall(b"x")  # each single byte arrives in time
    assert sorted(ended) == sorted(cases)
    assert max(ended.values()) < DISCONNECT_WITHIN_S
    for sock in socks:
        sock.close()


def test_a_body_of_60_mb_is_refused_and_not_buffered(program: Program) -> None:
    def peak_memory_kb() -> int:
        lines = Path(f"/proc/{program.process.pid}/status").read_text().splitlines()
        return int(next(line for line in lines if line.startswith("VmHWM")).split()[1])

    before = peak_memory_kb()
    with connect(program) as sock:
        sock.sendall(POST_API + MESSAGE_HEADERS % b"long" + b"Content-Length: 60000000\r\n\r\n")
        block = b"x" * 1_000_000
        try:
            for _ in range(60):
                sock.sendall(block)
        except OSError:
            pass  # disconnected
        else:
            assert read_to_end(sock).startswith(b"HTTP/1.1 413 ")
    assert peak_memory_kb() < before + 4000


def test_hundreds_of_silent_clients_do_not_keep_others_from_being_served(
    program: Program, peer: Peer
) -> None:
    assert program.hand_in("first") == 202
    silent = [(time.monotonic(), connect(program)) for _ in range(300)]
    assert [program.hand_in(f"m{n}") for n in range(50)] == [202] * 50
    descriptors = len(os.listdir(f"/proc/{program.process.pid}/fd"))
    assert descriptors < 192
    for opened, sock in silent:
        sock.settimeout(max(opened + DISCONNECT_WITHIN_S - time.monotonic(), 0.01))
        assert read_to_end(sock) in (b"", OVERLOADED)
        sock.close()
    until(lambda: len(os.listdir(f"/proc/{program.process.pid}/fd")) < 40, "descriptors as at the start")


def test_an_idle_connection_is_closed_between_requests(program: Program, peer: Peer) -> None:
    with connect(program) as sock:
        for id in (b"a", b"b"):
            sock.sendall(POST_API + MESSAGE_HEADERS % id + b"Content-Length: 2\r\n\r\nhi")
            assert sock.recv(65536).startswith(b"HTTP/1.1 202 ")
            time.sleep(0.2)
        answered = time.monotonic()
        assert sock.recv(1) == b""
        assert 1.0 < time.monotonic() - answered < DISCONNECT_WITHIN_S


def test_an_id_in_use_and_an_unknown_destination_are_refused(program: Program, peer: Peer) -> None:
    peer.answer_calls.clear()
    assert program.hand_in("mine", body=b"mine") == 202
    assert program.hand_in("mine", body=b"other") == 409
    with connect(program) as sock:  # the same message again, from a client that disconnects at once
        sock.sendall(POST_API + MESSAGE_HEADERS % b"mine" + b"Content-Length: 4\r\n\r\nmine")
    unknown = (
        POST_API
        + (MESSAGE_HEADERS % b"lost").replace(b"dest=7", b"dest=70000")
        + b"Content-Length: 0\r\n\r\n"
    )

    def answer() -> bytes:
        with connect(program) as sock:
            sock.sendall(unknown)
            return sock.recv(65536)

    until(lambda: answer().startswith(b"HTTP/1.1 400 "), "a refusal after the list is received")
    peer.answer_calls.set()
    until(lambda: program.hand_in("mine", body=b"mine") == 200, "its delivery")
    assert [body for _, _, body in peer.calls] == [b"mine"] and not peer.notices
