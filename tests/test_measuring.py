"""Probe budgets and the seat lease under pauses, replacement and outages."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from jasmineseam.measuring.load_reports import parse_load_report
from jasmineseam.measuring.probe_budget import ProbeBudget
from jasmineseam.measuring.probe_budget import compute_probe_share
from jasmineseam.measuring.seat import CLAIM_WAIT_S
from jasmineseam.measuring.seat import LEASE_DURATION_S
from jasmineseam.measuring.seat import SeatLease


@pytest.mark.parametrize("probes", [0, 1, 5, 6, 7, 100])
def test_the_shares_add_up_to_the_budget(probes):
    assert sum(compute_probe_share(probes, seat, 6) for seat in range(6)) == probes


@pytest.mark.parametrize("seat", [-1, 6])
def test_a_seat_that_does_not_exist_has_no_share(seat):
    assert compute_probe_share(100, seat, 6) == 0


@pytest.mark.parametrize("text", [None, "", "4", "-1/4", "1/0", "a/b", "1/4/5", "9999999/4"])
def test_malformed_load_reports_are_ignored(text):
    assert parse_load_report(text) is None


def test_a_resumed_process_does_not_send_missed_probes(clock):
    budget = ProbeBudget(clock=clock, share=2, window_s=10.0)
    clock.now = 1000.0
    assert [budget.start_probe() for _ in range(3)] == [True, True, False]


def test_a_probe_in_flight_counts_against_the_share(clock):
    budget = ProbeBudget(clock=clock, share=1, window_s=10.0)
    clock.now = 11.0
    assert budget.start_probe()
    clock.now = 100.0
    assert not budget.start_probe()
    budget.finish_probe()
    assert not budget.start_probe()
    clock.now = 111.0
    assert budget.start_probe()


@pytest.mark.parametrize("change", [None, (2, 40.0)])
def test_no_probes_are_sent_in_the_first_window_of_a_holder_or_a_changed_limit(clock, change):
    budget = ProbeBudget(clock=clock, share=2, window_s=10.0)
    blocked_s = 10.0
    if change is not None:
        clock.now = 11.0
        budget.set_limits(*change)
        blocked_s = 51.0
    clock.now = blocked_s - 0.1
    assert not budget.start_probe()
    clock.now = blocked_s + 1.0
    assert budget.start_probe()


class ProbeBudgetMachine(RuleBasedStateMachine):
    """One seat whose holder is suspended, paused between check and send, and replaced."""

    SHARE = 2
    WINDOW_S = 20.0

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.holder_count = 0
        self.claims = []
        self.holders = []
        self.sent_at = []
        self.log_available = True
        self.start_holder()

    @rule()
    def start_holder(self):
        self.holder_count += 1
        holder = f"holder-{self.holder_count}"
        lease = SeatLease(seat=0, holder=holder, clock=lambda: self.now)
        self.holders = [*self.holders[-2:], (holder, lease, [])]

    @rule(holder_index=st.integers(0, 2))
    def renew_lease(self, holder_index):
        if not self.log_available:
            return
        holder, lease, _ = self.holders[holder_index % len(self.holders)]
        if not lease.claimed and holder not in self.claims:
            self.claims.append(holder)
            lease.record_claim()
            return
        lease.record_read(self.claims[-1], self.now)

    @rule(holder_index=st.integers(0, 2))
    def probe_server(self, holder_index):
        _, lease, budgets = self.holders[holder_index % len(self.holders)]
        if not lease.is_held():
            return
        if not budgets:
            clock = lambda: self.now  # noqa: E731
            budgets.append(ProbeBudget(clock=clock, share=self.SHARE, window_s=self.WINDOW_S))
        if budgets[0].start_probe():
            self.sent_at.append(self.now)
            budgets[0].finish_probe()

    @rule(seconds=st.sampled_from([0.5, 3.0, LEASE_DURATION_S, CLAIM_WAIT_S, 25.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def switch_log(self):
        self.log_available = not self.log_available

    @invariant()
    def at_most_one_lease_is_held(self):
        assert sum(lease.is_held() for _, lease, _ in self.holders) <= 1

    @invariant()
    def no_window_contains_more_probes_than_the_share(self):
        for window_start in self.sent_at:
            probes_in_window = [
                sent_at
                for sent_at in self.sent_at
                if window_start <= sent_at < window_start + self.WINDOW_S
            ]
            assert len(probes_in_window) <= self.SHARE


TestProbeBudgetMachine = ProbeBudgetMachine.TestCase
