"""The price of outlasting a power loss: messages taken on with durability ``process`` and ``power``, in turn.

    python -m benchmarks.durability [--seconds 8] [--takers 1 8 64] [--repeats 3] [--csv FILE]

Each taker hands in one message after the other to the real program; a stand-in partner takes every call at
once. Tells the time from a client's first byte to its answer, messages a second, and syncs for each message.
"""

from __future__ import annotations

import argparse
import http.client
import json
import os
import subprocess
import sys
import tempfile
import threading
import time
from itertools import count
from pathlib import Path
from typing import Any

import numpy as np

from benchmarks.tables import tell, write_table
from springspread.faults.external_services import GROUP, ExternalServices

READY_S = 20.0


class Sender:
    """The real program with a configuration of its own, until ``end``."""

    def __init__(self, place: Path, outside: ExternalServices, durability: str) -> None:
        raw = outside.configuration() | {"name": "n0", "listen": "127.0.0.1:0", "durability": durability}
        raw |= {"state": str(place)}
        raw["limits"] |= {"disk_mb": 64}
        raw["settings"]["specifics"]["callsOut"] = 40
        file = place / "config.json"
        file.write_text(json.dumps(raw))
        env = {**os.environ, "RELAY_CONFIG": str(file)}
        line = [sys.executable, "-m", "springspread"]
        self.process = subprocess.Popen(line, env=env, stderr=subprocess.PIPE, text=True)
        assert self.process.stderr is not None
        for text in self.process.stderr:
            told = json.loads(text)
            if told["event"] == "ready":
                host, _, port = told["listen"].rpartition(":")
                self.address = (host, int(port))
                break

    def end(self) -> dict[str, Any]:
        """End it in order; its last line."""
        self.process.terminate()
        _, text = self.process.communicate(timeout=READY_S)
        stopped: dict[str, Any] = json.loads(text.splitlines()[-1])
        return stopped


def play(durability: str, takers: int, seconds: float) -> dict[str, object]:
    """One run."""
    outside, ids, over = ExternalServices(), count(1), threading.Event()
    times: list[float] = []
    refused: list[float] = []
    head = {"X-Service-Class": "notice", "X-Consignee": f"dest={GROUP}", "X-Time-Left-Ms": "8000"}
    with tempfile.TemporaryDirectory(prefix="springspread-durability-") as place:
        sender = Sender(Path(place), outside, durability)

        def take() -> None:
            while not over.is_set():
                connection = http.client.HTTPConnection(*sender.address, timeout=5.0)
                start = time.perf_counter()
                connection.request("POST", "/api", b"hello", {**head, "X-Correlation-Id": f"m{next(ids)}"})
                status = connection.getresponse().status
                took = 1000.0 * (time.perf_counter() - start)
                (times if status in (200, 202) else refused).append(took)
                connection.close()

        threads = [threading.Thread(target=take) for _ in range(takers)]
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        over.set()
        for thread in threads:
            thread.join()
        stopped = sender.end()
        outside.close()
    return {
        "durability": durability,
        "takers": takers,
        "taken_each_s": round(len(times) / seconds),
        "refused": len(refused),
        "p50_ms": round(float(np.percentile(times, 50)), 2),
        "p99_ms": round(float(np.percentile(times, 99)), 2),
        "most_ms": round(max(times), 1),
        "syncs_each": round(stopped.get("syncs", 0) / len(times), 3),
    }


def main() -> None:
    """Play in turn and tell."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--takers", type=int, nargs="+", default=[1, 8, 64])
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    rows = []
    for takers in args.takers:
        for _ in range(args.repeats):
            for durability in ("process", "power"):
                rows.append(play(durability, takers, args.seconds))
                tell(rows[-1])
    write_table(args.csv, rows)


if __name__ == "__main__":
    main()
