"""The cost of durability: latency and throughput with durability ``process`` and ``power``.

    python -m benchmarks.durability [--seconds 8] [--takers 1 8 64] [--repeats 3] [--csv FILE]

Each taker is a client that submits messages one after the other to the real program; a mock partner answers
every call at once. Prints the latency of the answers, messages per second, and syncs per message.
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

from benchmarks.tables import print_row, write_table
from springspread.faults.external_services import GROUP, ExternalServices

READY_S = 20.0


class Sender:
    """The real program with its own configuration."""

    def __init__(self, folder: Path, partner: ExternalServices, durability: str) -> None:
        raw = partner.configuration() | {"name": "n0", "listen": "127.0.0.1:0", "durability": durability}
        raw |= {"state": str(folder)}
        raw["limits"] |= {"disk_mb": 64}
        raw["settings"]["specifics"]["callsOut"] = 40
        file = folder / "config.json"
        file.write_text(json.dumps(raw))
        env = {**os.environ, "RELAY_CONFIG": str(file)}
        command = [sys.executable, "-m", "springspread"]
        self.process = subprocess.Popen(command, env=env, stderr=subprocess.PIPE, text=True)
        assert self.process.stderr is not None
        for text in self.process.stderr:
            record = json.loads(text)
            if record["event"] == "ready":
                host, _, port = record["listen"].rpartition(":")
                self.address = (host, int(port))
                break

    def stop(self) -> dict[str, Any]:
        """Terminate the program and return its last log line."""
        self.process.terminate()
        _, text = self.process.communicate(timeout=READY_S)
        stopped: dict[str, Any] = json.loads(text.splitlines()[-1])
        return stopped


def measure(durability: str, takers: int, seconds: float) -> dict[str, object]:
    """Measure one run."""
    partner, ids, done = ExternalServices(), count(1), threading.Event()
    times: list[float] = []
    refused: list[float] = []
    headers = {"X-Service-Class": "notice", "X-Consignee": f"dest={GROUP}", "X-Time-Left-Ms": "8000"}
    with tempfile.TemporaryDirectory(prefix="springspread-durability-") as folder:
        sender = Sender(Path(folder), partner, durability)

        def submit() -> None:
            while not done.is_set():
                connection = http.client.HTTPConnection(*sender.address, timeout=5.0)
                start = time.perf_counter()
                connection.request("POST", "/api", b"hello", {**headers, "X-Correlation-Id": f"m{next(ids)}"})
                status = connection.getresponse().status
                took = 1000.0 * (time.perf_counter() - start)
                (times if status in (200, 202) else refused).append(took)
                connection.close()

        threads = [threading.Thread(target=submit) for _ in range(takers)]
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        done.set()
        for thread in threads:
            thread.join()
        stopped = sender.stop()
        partner.close()
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
    """Measure each setting and print the rows."""
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
                rows.append(measure(durability, takers, args.seconds))
                print_row(rows[-1])
    write_table(args.csv, rows)


if __name__ == "__main__":
    main()
