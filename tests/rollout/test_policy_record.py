"""The policy record (syncs, failing disks, damage), and which changes of a policy are allowed."""

from __future__ import annotations

import copy
import errno
import json
import os
from math import inf
from pathlib import Path
from typing import Any

import pytest

from springspread.fleet.limits import Limit, LimitMode
from springspread.fleet.policy_changes import PolicyChanges
from springspread.interface import Effect
from springspread.rollout.document import (
    Policy,
    PolicyBaseline,
    PolicyError,
    class_effects,
    differences,
    lead_ms,
    parse_policy,
    stricter_limits,
    validate_policy,
)
from springspread.rollout.policy_record import CACHED_POLICIES, DamagedRecord, PolicyRecord
from springspread.rollout.protocol import Begun, Decided, Proposed
from tests.fleet.test_allocator_server import NullLog
from tests.test_config import SETTINGS


def policy(slots: int = 6, limits: dict[str, Limit] | None = None, **changes: Any) -> Policy:
    settings = copy.deepcopy(SETTINGS) | changes
    settings["specifics"]["callsOut"] = slots
    return Policy(settings, limits or {})


def record_with_one_policy(folder: Path, boot: str = "b1") -> PolicyRecord:
    record = PolicyRecord(folder, boot)
    record.store(1, policy())
    for entry in (Proposed(1, policy().digest), Decided(1, 500.0), Begun(1, 5000.0)):
        record.append(entry)
    return record


def test_decision_is_read_back_and_lies_in_the_past_after_a_reboot(tmp_path: Path) -> None:
    record_with_one_policy(tmp_path).close()
    again = PolicyRecord(tmp_path, "b1")
    assert (again.history.in_force, again.history.since, again.history.lease_ms) == (1, 500.0, 5000.0)
    assert again.policy(1) == policy()
    again.close()
    later = PolicyRecord(tmp_path, "b2")
    assert (later.history.in_force, later.history.since, later.history.lease_ms) == (1, -inf, 0.0)


@pytest.mark.parametrize("call", ["write", "fsync"])
def test_entry_that_failed_to_write_is_not_on_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    record, real = record_with_one_policy(tmp_path), getattr(os, call)
    failing = [True]

    def fails(*args: Any) -> Any:
        if failing.pop() if failing else False:
            raise OSError(errno.ENOSPC, "no space")
        return real(*args)

    monkeypatch.setattr(os, call, fails)
    with pytest.raises(OSError, match="no space"):
        record.append(Decided(2, 9.0))
    record.append(Begun(2, 5000.0))
    record.close()
    history = PolicyRecord(tmp_path, "b1").history
    assert (history.in_force, history.generation) == (1, 2)


def test_failed_rollback_of_a_write_damages_the_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    record = record_with_one_policy(tmp_path)

    def fails(file: int) -> None:
        raise OSError(errno.EIO, "broken")

    monkeypatch.setattr(os, "fsync", fails)
    with pytest.raises(DamagedRecord, match="broken after .*restart the daemon"):
        record.append(Decided(2, 9.0))


def test_first_start_after_an_undecided_proposal(tmp_path: Path) -> None:
    record = PolicyRecord(tmp_path, "b1")
    record.store(1, policy(slots=5))
    record.append(Proposed(1, policy(slots=5).digest))
    record.close()
    changes = PolicyChanges(tmp_path, policy(), NullLog())
    changes.begin((), lambda owner, message: None, lambda limits, since, mode: None)
    assert changes.in_force == 2 and changes.policy(2) == policy()
    assert changes.outcome(1) == ("refused", "the daemon ended before it was decided")
    changes.close()


def test_damage_is_reported_with_its_file_and_a_torn_end_is_cut(tmp_path: Path) -> None:
    record_with_one_policy(tmp_path).close()
    log, text = tmp_path / "log", (tmp_path / "1").read_text()
    good = log.read_bytes()
    log.write_bytes(good + b"0123 {to")
    assert PolicyRecord(tmp_path, "b1").history.in_force == 1 and log.read_bytes() == good
    log.write_bytes(good.replace(b"decided", b"decidex"))
    with pytest.raises(DamagedRecord, match=r"log: line 2 is damaged"):
        PolicyRecord(tmp_path, "b1")
    log.write_bytes(good)
    (tmp_path / "1").write_text(policy(slots=9).text)
    with pytest.raises(DamagedRecord, match="1: differs from its proposal"):
        PolicyRecord(tmp_path, "b1")
    (tmp_path / "1").write_text(text[:50])
    with pytest.raises(DamagedRecord, match="1: differs from its proposal"):
        PolicyRecord(tmp_path, "b1")


def baseline(*policies: Policy) -> PolicyBaseline:
    """The baseline after these policies, oldest first."""
    effects: dict[str, Effect] = {}
    for one in policies:
        effects.update(class_effects(one.settings))
    return PolicyBaseline(policies[-1], effects)


def test_forbidden_changes_are_refused_with_their_key() -> None:
    once = copy.deepcopy(SETTINGS["classes"])
    once[0]["effect"] = "once"
    for new, fault in (
        (policy(classes=once), "settings.classes.note.effect: is safe and can't change"),
        (policy(kinds=["portal"]), "settings.kinds: is read only at start-up"),
        (policy(zones=["b", "a"]), "settings.zones: is read only at start-up"),
        (policy(classes=[]), "settings.classes: at least one is needed"),
        (policy(clases=[]), "settings.clases: no such key"),
    ):
        with pytest.raises(PolicyError) as caught:
            validate_policy(new, baseline(policy()))
        assert str(caught.value).startswith(fault)
    without = policy(classes=SETTINGS["classes"][1:])
    validate_policy(without, baseline(policy()))
    with pytest.raises(PolicyError, match="is safe and can't change"):  # nor via a policy without the class
        validate_policy(policy(classes=once), baseline(policy(), without))


def test_baseline_covers_all_earlier_policies_and_few_are_cached(tmp_path: Path) -> None:
    record = record_with_one_policy(tmp_path)
    first = record.policy(1)
    without = policy(classes=SETTINGS["classes"][1:])
    for number in range(2, 30):
        record.store(number, without)
        record.append(Proposed(number, without.digest))
        record.append(Decided(number, 1_000.0 * number))
    assert len(record._policies) <= CACHED_POLICIES
    again = PolicyRecord(tmp_path, "b1")
    for one in (record, again):
        assert one.baseline is not None and one.baseline.latest.digest == without.digest
        assert (
            one.baseline.effects == baseline(first, without).effects
        )  # including those of the removed class
        assert (one.digests[1], one.policy(1).digest) == (first.digest, first.digest)
        assert len(one._policies) <= CACHED_POLICIES
        one.close()


def test_stricter_limits_apply_before_the_change() -> None:
    old = policy(limits={"g1": Limit(40, 2000.0), "g2": Limit(10, 1000.0)})
    new = policy(slots=7, limits={"g1": Limit(8, 2000.0), "g2": Limit(100, 1000.0), "g3": Limit(5, 4000.0)})
    assert stricter_limits(old, new) == {"g1": Limit(8, 2000.0), "g3": Limit(5, 4000.0)}
    assert lead_ms(old, new) == 4450.0 and lead_ms(old, old) == 0.0
    assert "limits.g1: 40 in 2000 ms -> 8 in 2000 ms" in differences(old, new)
    assert "settings.specifics.callsOut: 6 -> 7" in differences(old, new)
    assert parse_policy(new.text) == new and new.digest != old.digest


def test_document_names_only_modes_that_are_not_exact() -> None:
    exact = Policy({}, {"g1": Limit(40, 2000.0)})
    assert exact.text == '{"limits":{"g1":[40,2000.0]},"settings":{}}'
    adaptive = Policy({}, {"g1": Limit(40, 2000.0, LimitMode.ADAPTIVE)}, LimitMode.ADAPTIVE)
    assert adaptive.text == '{"default_mode":"adaptive","limits":{"g1":[40,2000.0,"adaptive"]},"settings":{}}'
    assert parse_policy(adaptive.text) == adaptive and parse_policy(exact.text) == exact
    assert differences(exact, adaptive) == [
        "default_mode: not set -> adaptive",
        "limits.g1: 40 in 2000 ms -> 40 in 2000 ms, adaptive",
    ]


@pytest.mark.parametrize(
    ("entry", "default_mode", "fault"),
    [
        ('[40,2000.0,"adaptve"]', "exact", "limits.g1.mode: no such mode: 'adaptve'; did you mean adaptive?"),
        ("[40,2000.0,7]", "exact", "limits.g1.mode: no such mode: 7; there are exact, adaptive"),
        ("[40,2000.0]", "exakt", "default_mode: no such mode: 'exakt'; did you mean exact?"),
        ('[40,2000.0,"exact",1]', "exact", "not a policy: "),
    ],
)
def test_document_with_an_unknown_mode_is_refused_with_its_key(
    entry: str, default_mode: str, fault: str
) -> None:
    with pytest.raises(PolicyError) as caught:
        parse_policy(f'{{"settings":{{}},"limits":{{"g1":{entry}}},"default_mode":"{default_mode}"}}')
    assert str(caught.value).startswith(fault)


def test_default_that_becomes_exact_has_lead_time_for_partners_limits() -> None:
    adaptive, exact = Policy({}, {}, LimitMode.ADAPTIVE), Policy({}, {})
    assert lead_ms(adaptive, exact) == 4250.0 and lead_ms(exact, adaptive) == 0.0


def test_limit_that_becomes_exact_applies_before_the_change() -> None:
    adaptive = Policy({}, {"g1": Limit(40, 2000.0, LimitMode.ADAPTIVE)})
    exact = Policy({}, {"g1": Limit(40, 2000.0)})
    assert stricter_limits(adaptive, exact) == exact.limits and lead_ms(adaptive, exact) == 4250.0
    assert stricter_limits(exact, adaptive) == {} and lead_ms(exact, adaptive) == 0.0


@pytest.mark.parametrize(
    "entry", ["[0,2000]", "[5,0]", "[5,NaN]", "[5,1e400]", "[-1,2000]", "[20000000,2000]"]
)
def test_out_of_range_limit_is_refused_with_its_key(entry: str) -> None:
    settings = json.dumps(SETTINGS)
    with pytest.raises(PolicyError, match="g7"):
        validate_policy(
            parse_policy(f'{{"limits":{{"g7":{entry}}},"settings":{settings}}}'), baseline(policy())
        )


@pytest.mark.parametrize(
    ("before", "after", "leads"),
    [
        (Limit(10, 1_000.0), Limit(15, 1_500.0), True),  # 20 calls may have been made in 1.5 s
        (Limit(10, 1_000.0), Limit(20, 2_000.0), False),
        (Limit(10, 1_000.0), Limit(30, 2_000.0), False),
        (Limit(20, 2_000.0), Limit(10, 1_000.0), True),
    ],
)
def test_limit_over_another_span_has_lead_time_where_it_is_stricter(
    before: Limit, after: Limit, leads: bool
) -> None:
    old, new = Policy({}, {"g1": before}), Policy({}, {"g1": after})
    assert (lead_ms(old, new) > 0.0) is leads


def test_document_with_an_infinite_count_is_refused() -> None:
    with pytest.raises(PolicyError, match="not a policy"):
        parse_policy('{"settings":{},"limits":{"g1":[1e400,2000]}}')
