"""Orders about the policy: propose or check one, and report the current and earlier ones.

Each answer is a JSON object, as the command line reads it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from springspread.core.clock import Clock
from springspread.fleet.control_client import OrderRefused
from springspread.fleet.limits import Owner
from springspread.fleet.members import Row
from springspread.fleet.policy_changes import PolicyChanges
from springspread.rollout.document import Policy, PolicyError, differences, parse_policy, validate_policy
from springspread.rollout.protocol import Proposed

OUTCOME_POLL_MS = 10.0
MIN_NUMBER_WAIT_S = 2.0  # the least wait for a proposal's number


class PolicyOrders:
    """Carries out orders about the policy, from any thread; each method's answer is a JSON object."""

    def __init__(self, changes: PolicyChanges, clock: Clock) -> None:
        self._changes, self._clock = changes, clock

    def propose(self, text: str, within_s: float) -> dict[str, Any]:
        """Propose a policy; wait up to ``within_s`` seconds until it is in force or refused.

        Proposing the latest policy again returns the same answer. Raises ``OrderRefused`` where the text is
        no policy.
        """
        try:
            policy = parse_policy(text)
        except PolicyError as exc:
            raise OrderRefused(str(exc)) from exc
        end = self._clock.now() + 1000.0 * within_s
        number = self._latest
        if not number or self._changes.record.digests[number] != policy.digest:
            proposal = self._changes.propose(policy)
            proposal.answered.wait(max(within_s, MIN_NUMBER_WAIT_S))  # the outcome is looked up by number
            if proposal.fault:
                return {"state": "refused", "version": 0, "fault": proposal.fault}
            number = proposal.number
        return self._outcome_by(end, number)

    @property
    def _latest(self) -> int:
        """The number of the pending policy, or else of the one in force."""
        return self._changes.pending or self._changes.record.history.in_force

    def _outcome_by(self, end: float, number: int) -> dict[str, Any]:
        outcome = self.outcome(number)
        while outcome["state"] not in ("in force", "refused") and self._clock.now() < end:
            self._clock.sleep(OUTCOME_POLL_MS)
            outcome = self.outcome(number)
        return outcome

    def outcome(self, number: int) -> dict[str, Any]:
        """The outcome of a proposal."""
        outcome = self._changes.outcome(number)
        return {"state": outcome.state, "version": number, "fault": outcome.detail}

    def text(self, number: int) -> dict[str, Any]:
        """The document of a policy that is or was in force; raises ``OrderRefused``."""
        decided = self._changes.record.decided
        if number not in decided:
            raise OrderRefused(f"no policy {number} on record; there are {', '.join(map(str, decided))}")
        return {"policy": self._changes.policy(number).text}

    def check(self, text: str, running: Iterable[Owner]) -> dict[str, Any]:
        """What a proposal would change, which instances refuse it or do not answer; changes nothing."""
        try:
            policy = parse_policy(text)
            validate_policy(policy, self._changes.record.baseline)
        except PolicyError as exc:
            return {"usable": False, "fault": str(exc), "changes": [], "refuse": {}, "silent": []}
        answers = self._changes.query_compatibility(policy, running)
        refusals = {name: fault for (name, _), fault in answers.items() if fault}
        return {
            "usable": not refusals,
            "fault": "; ".join(f"{name}: {fault}" for name, fault in refusals.items()),
            "changes": differences(self._in_force, policy),
            "refuse": refusals,
            "silent": [name for (name, _), fault in answers.items() if fault is None],
        }

    @property
    def _in_force(self) -> Policy:
        return self._changes.policy(self._changes.record.history.in_force)

    def status(self, rows: Iterable[Row]) -> dict[str, Any]:
        """The policy in force, the pending one, and the policy that each instance acts under."""
        changes = self._changes
        number, pending = changes.in_force, changes.pending
        awaited = [name for name, _ in changes.awaited]
        return {
            "in_force": {"version": number, "digest": changes.record.digests[number]},
            "pending": {"version": pending, "waits_for": awaited} if pending else None,
            "instances": {row.name: self._instance_policy(row) for row in rows},
        }

    def _instance_policy(self, row: Row) -> Mapping[str, Any]:
        version = self._changes.reported_version((row.name, row.epoch))
        state = "acting" if version else "holding" if row.pid else "away"
        return {"version": version, "state": state}

    def history(self) -> list[dict[str, Any]]:
        """Every proposal with its outcome, in order."""
        record = self._changes.record
        numbers = [entry.number for entry in record.entries if isinstance(entry, Proposed)]
        return [self._proposal_status(number) for number in numbers]

    def _proposal_status(self, number: int) -> dict[str, Any]:
        outcome = self._changes.outcome(number)
        digest = self._changes.record.digests[number]
        return {"version": number, "state": outcome.state, "fault": outcome.detail, "digest": digest}
