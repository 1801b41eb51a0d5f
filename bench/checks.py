"""Check the results of a demonstration or soak test.

The outcome that a caller received for each order is compared with the executions that the servers
recorded. Other functions check the states of the processes, the probe budget and the logs.
"""

from __future__ import annotations

import bisect
import collections
import typing as t

import msgspec

from standins.callers import Tally

from .cluster import Cluster

MAX_PUBLICATION_TIME_S = 12.0


class RunResult(msgspec.Struct, kw_only=True):
    """Request counts of a test and the violations that the checks found.

    :param answered: requests with a complete response.
    :param not_run: orders that were rejected without execution.
    :param unknown: orders that may or may not have been executed, because the caller received
        no definite outcome.
    :param max_executions_per_order: largest number of executions of one order.
    :param mismatched_responses: number of responses that belong to another request.
    :param causes: number of failed attempts by cause.
    :param failures: a description of each violation.
    """

    requests: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    max_executions_per_order: int = msgspec.field(default=0, name="most_runs")
    mismatched_responses: int = msgspec.field(default=0, name="foreign")
    causes: dict[str, int] = {}
    failures: list[str] = []


def check_outcomes(tallies: list[Tally], execution_counts: collections.Counter[str]) -> RunResult:
    """Compare the outcome of each order with the number of its executions.

    :param execution_counts: number of executions by order id, from the execution journal.
    """
    result = RunResult()
    causes: collections.Counter[str] = collections.Counter()
    for tally in tallies:
        causes.update(tally.failure_causes)
        result.mismatched_responses += len(tally.crossed_responses)
        result.failures.extend(
            f"{request} received the response of another request"
            for request in tally.crossed_responses
        )
        for outcome, count in tally.lookups.items():
            result.requests += count
            result.answered += count if outcome == "answered" else 0
        for order in tally.orders:
            result.requests += 1
            count = execution_counts[order.order_id]
            result.max_executions_per_order = max(result.max_executions_per_order, count)
            trace = (
                f"order {order.order_id}, executions: {count}, "
                f"attempts: {', '.join(order.attempt_results)}"
            )
            if count > 1:
                result.failures.append(f"executed more than once: {trace}")
            if order.outcome == "answered":
                result.answered += 1
                if count == 0:
                    result.failures.append(f"outcome answered without an execution: {trace}")
            elif order.outcome == "not-run":
                result.not_run += 1
                if count:
                    result.failures.append(f"outcome not-run, but executed: {trace}")
            else:
                result.unknown += 1
    result.causes = dict(causes)
    return result


def find_probe_budget_violations(
    journals: dict[str, dict[str, t.Any]], max_probes: int, window_s: float
) -> list[str]:
    """Return up to three windows with more probes than the budget.

    :param journals: journals of the servers, with the times of the probes that they received.
    :param max_probes: probe budget: maximum number of probes in any window.
    :param window_s: length of the window, in seconds.
    """
    times = sorted(time for journal in journals.values() for time in journal["probes_at"])
    violations = []
    for index, start in enumerate(times):
        count = bisect.bisect_left(times, start + window_s) - index
        if count > max_probes:
            violations.append(f"{count} probes within {window_s} s, budget {max_probes}")
    return violations[:3]


class StateMonitor:
    """Checks successive state dumps of each process.

    The catalogue position and the revision of each catalogue entry must never decrease, and no
    invariant may be violated.
    """

    def __init__(self) -> None:
        self._highest_values: dict[tuple[str, str], int] = {}
        self.failures: list[str] = []

    def check_dump(self, dump: dict[str, t.Any]) -> None:
        """Compare the dump of a process with its earlier dumps."""
        process = dump["incarnation"]
        self._check_value(process, "position", dump["position"])
        for service, revision in dump["entries"].items():
            self._check_value(process, service, revision)
        for name, count in dump["invariant_violations"].items():
            self.failures.append(f"invariant {name} violated {count} times in {dump['role']}")

    def _check_value(self, process: str, name: str, value: int) -> None:
        highest = self._highest_values.get((process, name), value)
        if value < highest:
            self.failures.append(f"{name} of {process} decreased from {highest} to {value}")
        self._highest_values[process, name] = max(highest, value)


def find_crash_log_lines(cluster: Cluster) -> list[str]:
    """Return up to ten log lines of crashes, invariant violations and failed stops."""
    crashes = []
    for line in cluster.read_logs().splitlines():
        if " Crashed: " in line or "Invariant " in line or "Planned stop failed" in line:
            crashes.append(line)
    return crashes[:10]
