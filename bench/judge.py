"""Judging a run: what callers were told against what servers have run, and what processes held."""

from __future__ import annotations

import bisect
import collections
import typing as t

import msgspec

from standins.callers import Tally

from .cluster import Cluster

IN_FORCE_S = 12.0


class Verdict(msgspec.Struct, kw_only=True):
    """A run's figures, and every broken promise."""

    requests: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    most_runs: int = 0
    foreign: int = 0
    causes: dict[str, int] = {}
    failures: list[str] = []


def judge_orders(tallies: list[Tally], runs: collections.Counter[str]) -> Verdict:
    """Compare each order's outcome with the journal of runs."""
    verdict = Verdict()
    causes: collections.Counter[str] = collections.Counter()
    for tally in tallies:
        causes.update(tally.failure_causes)
        verdict.foreign += len(tally.crossed_responses)
        verdict.failures.extend(f"foreign answer to {one}" for one in tally.crossed_responses)
        for outcome, count in tally.lookups.items():
            verdict.requests += count
            verdict.answered += count if outcome == "answered" else 0
        for order in tally.orders:
            verdict.requests += 1
            count = runs[order.run_id]
            verdict.most_runs = max(verdict.most_runs, count)
            trace = f"order {order.run_id} ran {count} times: {', '.join(order.attempt_results)}"
            if count > 1:
                verdict.failures.append(f"ran more than once; {trace}")
            if order.outcome == "answered":
                verdict.answered += 1
                if count == 0:
                    verdict.failures.append(f"answered without a run; {trace}")
            elif order.outcome == "not-run":
                verdict.not_run += 1
                if count:
                    verdict.failures.append(f"told not run, but ran; {trace}")
            else:
                verdict.unknown += 1
    verdict.causes = dict(causes)
    return verdict


def find_budget_breaches(
    journals: dict[str, dict[str, t.Any]], probes: int, window_s: float
) -> list[str]:
    """Look for a window with more probes than the budget, as the servers counted them."""
    times = sorted(at for journal in journals.values() for at in journal["probes_at"])
    breaches = []
    for index, at in enumerate(times):
        count = bisect.bisect_left(times, at + window_s) - index
        if count > probes:
            breaches.append(f"{count} probes within {window_s} s, budget {probes}")
    return breaches[:3]


class Watcher:
    """Watches that no process goes back, and that accepted changes arrive in time."""

    def __init__(self) -> None:
        self._held: dict[tuple[str, str], int] = {}
        self.failures: list[str] = []

    def note_dump(self, dump: dict[str, t.Any]) -> None:
        """Compare a process's dump with its earlier ones."""
        process = dump["incarnation"]
        self._note(process, "position", dump["position"])
        for service, revision in dump["entries"].items():
            self._note(process, service, revision)
        for name, count in dump["invariant_violations"].items():
            self.failures.append(f"invariant {name} broken {count} times at {dump['role']}")

    def _note(self, process: str, what: str, value: int) -> None:
        held = self._held.get((process, what), value)
        if value < held:
            self.failures.append(f"{what} of {process} went from {held} to {value}")
        self._held[process, what] = max(held, value)


def find_crashes(cluster: Cluster) -> list[str]:
    """Return the programs that ended by themselves."""
    crashes = []
    for line in cluster.read_logs().splitlines():
        if " Crashed: " in line or "Invariant " in line or "Planned stop failed" in line:
            crashes.append(line)
    return crashes[:10]
