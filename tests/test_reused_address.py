"""An endpoint that came up at the address of another one gets no message that was meant for that one."""

from __future__ import annotations

import json
import socket
import threading
from pathlib import Path
from typing import Any

import pytest

from tests.list_service import OK, CallLog, ListService, read_request
from tests.peer import Program, serve_connections, until

CONNECT_MS = 10_000.0  # the system repeats a connection request that was dropped after 1 s and 3 s


class BusyAddress:
    """An address at which connections come up only once ``free`` is called; records the requests there."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.port: int = self._listener.getsockname()[1]
        self._fillers = [socket.socket() for _ in range(4)]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
        self.ids: list[str] = []

    def free(self) -> None:
        """The process at the address accepts connections from now on."""
        for filler in self._fillers:
            filler.close()
        serve_connections(self._listener, self._serve)

    def _serve(self, sock: socket.socket) -> None:
        while (request := read_request(sock)) is not None:
            self.ids.append(request.headers.get("x-correlation-id", ""))
            sock.sendall(OK)

    def close(self) -> None:
        self._listener.close()


def test_call_under_way_to_an_endpoint_that_moved_does_not_reach_its_successor_there(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its connection came up late, and the message went to another destination's endpoint."""
    monkeypatch.setenv("RELAY_LOG_LEVEL", "debug")
    address, moved = BusyAddress(), CallLog()

    def line(name: str, port: int, group: int) -> dict[str, Any]:
        return {**moved.line(name, group), "address": f"127.0.0.1:{port}"}

    discovery = ListService({"s-1": line("s-1", address.port, 7)})
    program = Program(tmp_path, discovery)
    raw = json.loads(program.file.read_text())
    raw["settings"]["limits"]["connectTimeoutMs"] = CONNECT_MS
    program.end()
    program.file.write_text(json.dumps(raw))
    program.start()
    handed_in = threading.Thread(target=program.hand_in, args=("m7",), kwargs={"left": 9000})
    handed_in.start()
    until(lambda: any(one["event"] == "connecting" for one in program.log), "the call is connecting")
    with discovery._condition:
        discovery.members["s-1"] = line("s-1", moved.port, 7)
        discovery._changed["s-1"] = discovery.version + 1
        discovery.members["s-2"] = line("s-2", address.port, 8)
    discovery.change("s-2", "Ready")
    until(
        lambda: any(one["event"] == "list received" and one["version"] == 2 for one in program.log),
        "the sender has the list",
    )
    address.free()
    until(lambda: moved.ids == ["m7"] or address.ids, "the message is sent")
    handed_in.join()
    assert not address.ids and moved.ids == ["m7"]
    for stand_in in (address, moved, discovery):
        stand_in.close()
