"""The operator's file of a fleet (TOML); each error names its file and key."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

from pydantic import BeforeValidator, Field, ValidationError

from springspread.fleet.limits import MAX_CALLS, MAX_SPAN_MS, MIN_SPAN_MS, Limit, LimitMode
from springspread.fleet.members import RestartTimings
from springspread.gc_pause import collector_paused
from springspread.rollout.coordinator import Timings
from springspread.rollout.document import MAX_LIMITS, Policy, PolicyTooLarge, check_bounds
from springspread.validation import PlanError, StrictModel, format_errors, read_toml

LimitKey = Annotated[str, Field(pattern=r"^[gr][A-Za-z0-9/._-]{1,100}$")]
Mode = Annotated[LimitMode, BeforeValidator(LimitMode.named)]


class PlanTooLarge(PlanError):
    """A file over a size bound; the message names the key and the bound."""


class LimitEntry(StrictModel):
    """At most ``calls`` in any ``span_ms``, over all instances."""

    calls: Annotated[int, Field(ge=1, le=MAX_CALLS)]
    span_ms: Annotated[float, Field(ge=MIN_SPAN_MS, le=MAX_SPAN_MS)] = 2_000.0
    mode: Mode = LimitMode.EXACT

    @property
    def limit(self) -> Limit:
        """As used by the policy and the allocator."""
        return Limit(self.calls, self.span_ms, self.mode)


class Restarts(StrictModel):
    """The backoff of restarts, and the time to stop."""

    first_ms: Annotated[float, Field(ge=10.0, le=60_000.0)] = 100.0
    most_ms: Annotated[float, Field(ge=100.0, le=600_000.0)] = 10_000.0
    settled_ms: Annotated[float, Field(ge=1_000.0, le=3_600_000.0)] = 30_000.0
    stop_ms: Annotated[float, Field(ge=3_500.0, le=60_000.0)] = 4_000.0


class PolicyTimes(StrictModel):
    """The length of a grant, and the timeout for votes."""

    lease_ms: Annotated[float, Field(ge=1_000.0, le=600_000.0)] = 5_000.0
    vote_ms: Annotated[float, Field(ge=50.0, le=60_000.0)] = 300.0


class Recovery(StrictModel):
    """The timeout of each startup stage (``core.startup_stages``), and how many instances start at once."""

    clock_ms: Annotated[float, Field(ge=0.0, le=600_000.0)] = 2_000.0
    policy_ms: Annotated[float, Field(ge=0.0, le=600_000.0)] = 3_000.0
    list_ms: Annotated[float, Field(ge=0.0, le=600_000.0)] = 2_000.0
    owed_ms: Annotated[float, Field(ge=0.0, le=600_000.0)] = 3_000.0
    at_once: Annotated[int, Field(ge=1, le=1_000)] = 8

    @property
    def waits(self) -> dict[str, float]:
        """The timeouts, as in an instance's configuration."""
        return {key: value for key, value in self.model_dump().items() if key != "at_once"}


class FleetPlan(StrictModel):
    """A fleet: its folder, its size, and the configuration and limits that its instances share."""

    folder: Path = Field(strict=False)
    config: Path = Field(strict=False)
    instances: Annotated[int, Field(ge=0, le=1000)] = 2
    host: str = "127.0.0.1"
    first_port: Annotated[int, Field(ge=0, le=65_000)] = 0
    limits: dict[LimitKey, LimitEntry] = Field(default_factory=dict)
    default_mode: Mode = LimitMode.EXACT  # for destinations that are unknown to a sender
    restarts: Restarts = Restarts()
    policy_times: PolicyTimes = PolicyTimes()
    recovery: Recovery = Recovery()

    @property
    def policy_timings(self) -> Timings:
        """As used by the policy coordinator."""
        configured = self.policy_times
        return Timings(configured.lease_ms, configured.vote_ms, cut_ms=configured.vote_ms + 200.0)

    def policy(self, base: Mapping[str, Any]) -> Policy:
        """The policy of the files, given the decoded configuration. Raises ``PlanTooLarge``."""
        settings = base.get("settings")
        with collector_paused():
            policy = Policy(
                settings if isinstance(settings, dict) else {}, self.shared_limits, self.default_mode
            )
            try:
                check_bounds(policy)
            except PolicyTooLarge as exc:
                raise PlanTooLarge(str(exc)) from exc
        return policy

    @property
    def restart_timings(self) -> RestartTimings:
        """As used by ``members``."""
        return RestartTimings(**self.restarts.model_dump())

    @property
    def shared_limits(self) -> dict[str, Limit]:
        """The limits as used by the allocator, by key."""
        return {key: entry.limit for key, entry in self.limits.items()}


TABLE_KEYS = {
    "restarts": tuple(Restarts.model_fields),
    "policy_times": tuple(PolicyTimes.model_fields),
    "recovery": tuple(Recovery.model_fields),
}
"""The keys of each table, for suggestions on misspelt ones."""


def read_fleet(path: Path) -> FleetPlan:
    """Read an operator's file; raises ``PlanError``. Relative paths are relative to the file's folder."""
    try:
        with collector_paused():
            raw = read_toml(path)
            _check_count(path, raw.get("limits"))
            plan = FleetPlan.model_validate(raw)
    except OSError as exc:
        raise PlanError(f"{path}: {exc.strerror}") from exc
    except ValidationError as exc:
        lines = format_errors(exc, list(FleetPlan.model_fields), TABLE_KEYS).splitlines()
        raise PlanError("\n".join(f"{path}: {line}" for line in lines)) from exc
    except ValueError as exc:
        raise PlanError(f"{path}: not TOML: {exc}") from exc
    here = path.resolve().parent
    return plan.model_copy(update={"folder": here / plan.folder, "config": here / plan.config})


def _check_count(path: Path, limits: object) -> None:
    """Raise before each limit is checked, which takes long for too many of them."""
    if isinstance(limits, dict) and len(limits) > MAX_LIMITS:
        raise PlanTooLarge(f"{path}: limits: there are {len(limits):,}; the bound is {MAX_LIMITS:,}")
