"""Costs of a daemon and its instances, and times to detect a death and to start a successor."""

from __future__ import annotations

import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from benchmarks.capacity import mechanism
from benchmarks.capacity.measurement import Measurement, Values, status_of
from springspread.fleet.control_client import send_order

IDLE_S = 6.0
WAIT_S = 40.0
POLL_S = 0.02


def fleet_by_instances(instances: int) -> Values:
    """A real daemon with idle instances: costs, then one instance is killed, then the daemon."""
    with running_fleet(instances, "[limits.g7]\ncalls = 40\n") as fleet:
        return fleet.measure(instances)


@contextmanager
def running_fleet(instances: int, limits: str) -> Iterator[Fleet]:
    """Start a daemon; ``limits`` is the end of its fleet file."""
    from tests.peer import Peer
    from tests.test_config import make

    peer = Peer()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        raw = make(folder, discovery=f"127.0.0.1:{peer.port}", known=peer.members())
        (folder / "sender.json").write_text(json.dumps(raw))
        file = folder / "fleet.toml"
        file.write_text(f'folder = "f"\nconfig = "sender.json"\ninstances = {instances}\n{limits}')
        fleet = Fleet(file)
        try:
            yield fleet
        finally:
            fleet.close()


class Fleet:
    """A daemon and its instances."""

    def __init__(self, file: Path) -> None:
        self.file, self._control = file, file.parent / "f" / "control"
        self._daemon = self._run()

    def _run(self) -> subprocess.Popen[bytes]:
        command = [sys.executable, "-m", "springspread.cli", "fleet", "run", str(self.file)]
        return subprocess.Popen(command, stderr=subprocess.DEVNULL, stdout=subprocess.DEVNULL)

    def rows(self) -> list[dict[str, Any]]:
        """The instances that the daemon reports; empty if it does not answer."""
        try:
            instances: list[dict[str, Any]] = send_order(self._control, {"do": "status"}).get("instances", [])
        except (OSError, ValueError):
            return []
        return instances

    def _wait_until(self, condition: Callable[[], bool]) -> float:
        """Milliseconds until a condition holds; raises ``TimeoutError``."""
        started = time.monotonic()
        while not condition():
            if time.monotonic() > started + WAIT_S:
                raise TimeoutError("timed out waiting for the fleet")
            time.sleep(POLL_S)
        return 1000.0 * (time.monotonic() - started)

    def wait_until_all_serve(self, instances: int) -> float:
        """Milliseconds until all instances are in the fleet; raises ``TimeoutError``."""
        return self._wait_until(lambda: self._all_serve(instances))

    def _all_serve(self, instances: int) -> bool:
        return (
            sum(bool(row["in_fleet"] and row["listen"] and row["policy"]) for row in self.rows()) >= instances
        )

    def measure(self, instances: int) -> Values:
        """Measure all quantities at one size."""
        start_ms = self.wait_until_all_serve(instances)
        time.sleep(2.0)
        pids = [int(row["pid"]) for row in self.rows()]
        before = {pid: status_of(pid)[0] for pid in [self._daemon.pid, *pids]}
        time.sleep(IDLE_S)
        after = {pid: status_of(pid) for pid in before}
        cpu_ms = {pid: 1000.0 * (after[pid][0] - before[pid]) / IDLE_S for pid in before}
        victim = self.rows()[0]
        os.kill(int(victim["pid"]), signal.SIGKILL)
        detected_ms = self._wait_until(lambda: self._row(victim["name"])["pid"] != victim["pid"])
        replaced_ms = detected_ms + self._wait_until(lambda: self._all_serve(instances))
        os.kill(self._daemon.pid, signal.SIGKILL)
        self._daemon.wait()
        self._daemon = self._run()
        successor_ms = self._wait_until(lambda: self._all_serve(instances))
        return {
            "fleet_start_by_instances": start_ms,
            "daemon_cpu_by_instances": cpu_ms[self._daemon_pid(before)],
            "daemon_memory_by_instances": after[self._daemon_pid(before)][1],
            "instance_cpu_by_instances": statistics.mean(cpu_ms[pid] for pid in pids),
            "instance_memory_by_instances": statistics.median(after[pid][1] for pid in pids),
            "death_found_by_instances": detected_ms,
            "death_replaced_by_instances": replaced_ms,
            "daemon_successor_by_instances": successor_ms,
        }

    def _row(self, name: str) -> dict[str, Any]:
        return next((row for row in self.rows() if row["name"] == name), {"pid": 0})

    @staticmethod
    def _daemon_pid(before: dict[int, float]) -> int:
        return next(iter(before))

    def close(self) -> None:
        """Stop the daemon and thereby its instances."""
        self._daemon.terminate()
        try:
            self._daemon.wait(15.0)
        except subprocess.TimeoutExpired:
            self._daemon.kill()
            self._daemon.wait()


def successor_by_leases(leases: int) -> Values:
    """Start of a server from a record, by its leases, at 1,000 limits."""
    return {"successor_ms_by_leases": _successor_ms(leases, 1_000)}


def successor_by_limits(limits: int) -> Values:
    """Start of a server from a record of 4,000 leases, by limits."""
    return {"successor_ms_by_limits": _successor_ms(4_000, limits)}


def full_successor_by_leases(leases: int) -> Values:
    """Start of a server from a record of up to 2.2 s of all events, by leases, at 140,000 limits."""
    return {"full_successor_ms_by_leases": _successor_ms(leases, 140_000)}


def _successor_ms(leases: int, limits: int) -> float:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        mechanism.write_record(folder, leases)
        started = time.process_time()
        with mechanism.running_server(limits, folder):
            return 1000.0 * (time.process_time() - started)


def share_by_sharers(sharers: int) -> Values:
    """Virtual time from a sender's death until the others have 0.9 of its contended limit."""
    return {"share_taken_over_by_sharers": mechanism.share_taken_over_ms(sharers)}


MEASUREMENTS = (
    Measurement(
        "fleet_by_instances",
        "instances",
        (1, 2, 4, 8, 16, 32, 64),
        (1, 2, 3, 4),
        {
            "fleet_start_by_instances": "ms",
            "daemon_cpu_by_instances": "ms/s",
            "daemon_memory_by_instances": "B",
            "instance_cpu_by_instances": "ms/s",
            "instance_memory_by_instances": "B",
            "death_found_by_instances": "ms",
            "death_replaced_by_instances": "ms",
            "daemon_successor_by_instances": "ms",
        },
        fleet_by_instances,
        150.0,
    ),
    Measurement(
        "successor_by_leases",
        "leases",
        (1_000, 4_000, 16_000, 64_000),
        (250, 500, 1_000, 2_000),
        {"successor_ms_by_leases": "ms"},
        successor_by_leases,
    ),
    Measurement(
        "successor_by_limits",
        "limits",
        (1_000, 4_000, 10_000, 30_000),
        (250, 500, 1_000, 2_000),
        {"successor_ms_by_limits": "ms"},
        successor_by_limits,
    ),
    Measurement(
        "full_successor_by_leases",
        "leases",
        (20_000, 55_000, 110_000, 220_000, 440_000),
        (250, 500, 1_000, 2_000),
        {"full_successor_ms_by_leases": "ms"},
        full_successor_by_leases,
    ),
    Measurement(
        "share_by_sharers",
        "sharers",
        (2, 3, 4, 5),
        (2, 3, 4, 5),
        {"share_taken_over_by_sharers": "ms"},
        share_by_sharers,
    ),
)
