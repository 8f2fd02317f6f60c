"""Limits that change at a scheduled time: until then the stricter ones apply, and removed ones stay."""

from __future__ import annotations

import json
from pathlib import Path

from springspread.core.clock import SYSTEM
from springspread.fleet.allocator_server import AllocatorServer
from springspread.fleet.daemon import Daemon
from springspread.fleet.limits import Limit
from springspread.fleet.messages import PROTOCOL_VERSION, LeaseRequest, Register
from springspread.fleet.plan import read_fleet
from springspread.fleet.policy_changes import BOOT_ID
from springspread.rollout.policy_record import PolicyRecord
from springspread.rollout.protocol import Decided, Proposed
from tests.fleet.test_allocator_server import NullLog
from tests.peer import until
from tests.test_config import make


def test_stricter_limits_apply_until_scheduled_change(tmp_path: Path) -> None:
    old = {"g1": Limit(40, 2000.0), "g2": Limit(10, 1000.0), "g4": Limit(3, 1000.0)}
    server = AllocatorServer(tmp_path / "allot", tmp_path, old, NullLog())
    allocator = server.control
    since = SYSTEM.now() + 400.0
    server.schedule_limits({"g1": Limit(8, 2000.0), "g2": Limit(100, 1000.0), "g3": Limit(5, 1000.0)}, since)
    before = {key: allocator.limit(key) for key in ("g1", "g2", "g3", "g4")}
    assert SYSTEM.now() < since
    assert before == {
        "g1": Limit(8, 2000.0),
        "g2": Limit(10, 1000.0),
        "g3": Limit(5, 1000.0),
        "g4": Limit(3, 1000.0),
    }
    until(lambda: allocator.limit("g4") is None, "the new limits apply")
    assert SYSTEM.now() >= since
    assert allocator.limit("g1") == Limit(8, 2000.0) and allocator.limit("g2") == Limit(100, 1000.0)
    server.close()


def test_restarted_daemon_keeps_scheduled_change(tmp_path: Path) -> None:
    file, limit = tmp_path / "fleet.toml", "[limits.g1]\ncalls = {}\nspan_ms = 1000.0\n"
    head = 'folder = "fleet"\nconfig = "sender.json"\ninstances = 0\n'
    base = make(tmp_path)
    (tmp_path / "sender.json").write_text(json.dumps(base))
    file.write_text(head + limit.format(10))
    first = Daemon(read_fleet(file), NullLog())
    first.detach()
    file.write_text(head + limit.format(100))
    raised = read_fleet(file).policy(base)
    record = PolicyRecord(first.folder / "policy", BOOT_ID.read_text().strip())
    since = SYSTEM.now() + 600.0
    record.store(2, raised)
    record.append(Proposed(2, raised.digest))
    record.append(Decided(2, since))
    record.close()
    second = Daemon(read_fleet(file), NullLog())
    allocator = second._server.control
    before = allocator.limit("g1")
    assert SYSTEM.now() < since and before == Limit(10, 1000.0)
    until(lambda: allocator.limit("g1") == Limit(100, 1000.0), "the new limits apply")
    assert SYSTEM.now() >= since
    second.detach()


def test_partner_limit_applies_after_operators_limit_is_removed(tmp_path: Path) -> None:
    server = AllocatorServer(tmp_path / "allot", tmp_path, {"g1": Limit(40, 2000.0)}, NullLog())
    owner = server.control.register(SYSTEM.now(), Register(PROTOCOL_VERSION, "", "n000", 1))
    server.control.received(SYSTEM.now(), owner, LeaseRequest(partner_rates={"g1": 5.0}))
    assert server.control.limit("g1") == Limit(40, 2000.0)
    server.schedule_limits({}, SYSTEM.now())
    until(lambda: server.control.limit("g1") == Limit(10, 2000.0), "the partner's limit applies")
    server.close()
