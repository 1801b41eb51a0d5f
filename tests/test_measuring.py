"""The measuring budget and the seat, under pauses, replacement and outages."""

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
def test_shares_add_up_to_the_budget(probes):
    assert sum(compute_probe_share(probes, seat, 6) for seat in range(6)) == probes


@pytest.mark.parametrize("seat", [-1, 6])
def test_a_seat_that_does_not_exist_has_no_share(seat):
    assert compute_probe_share(100, seat, 6) == 0


@pytest.mark.parametrize("text", [None, "", "4", "-1/4", "1/0", "a/b", "1/4/5", "9999999/4"])
def test_senseless_reports_are_no_reports(text):
    assert parse_load_report(text) is None


def test_a_woken_process_does_not_catch_up(clock):
    budget = ProbeBudget(clock=clock, share=2, window_s=10.0)
    clock.now = 1000.0
    assert [budget.start_probe() for _ in range(3)] == [True, True, False]


def test_a_probe_whose_answer_is_awaited_counts(clock):
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
def test_a_new_holder_and_a_new_window_begin_with_silence(clock, change):
    budget = ProbeBudget(clock=clock, share=2, window_s=10.0)
    silence_s = 10.0
    if change is not None:
        clock.now = 11.0
        budget.set_limit(*change)
        silence_s = 51.0
    clock.now = silence_s - 0.1
    assert not budget.start_probe()
    clock.now = silence_s + 1.0
    assert budget.start_probe()


class BudgetMachine(RuleBasedStateMachine):
    """One seat whose holder is paused, frozen between check and send, and replaced."""

    SHARE = 2
    WINDOW_S = 20.0

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.number = 0
        self.claims = []
        self.holders = []
        self.sent_at = []
        self.log_up = True
        self.start_holder()

    @rule()
    def start_holder(self):
        self.number += 1
        name = f"holder-{self.number}"
        seat = SeatLease(seat=0, holder=name, clock=lambda: self.now)
        self.holders = [*self.holders[-2:], (name, seat, [])]

    @rule(which=st.integers(0, 2))
    def renew(self, which):
        if not self.log_up:
            return
        name, seat, _ = self.holders[which % len(self.holders)]
        if not seat.claimed and name not in self.claims:
            self.claims.append(name)
            seat.note_claimed()
            return
        seat.note_read(self.claims[-1], self.now)

    @rule(which=st.integers(0, 2))
    def probe(self, which):
        _, seat, budgets = self.holders[which % len(self.holders)]
        if not seat.is_held():
            return
        if not budgets:
            clock = lambda: self.now  # noqa: E731
            budgets.append(ProbeBudget(clock=clock, share=self.SHARE, window_s=self.WINDOW_S))
        if budgets[0].start():
            self.sent_at.append(self.now)
            budgets[0].finish()

    @rule(seconds=st.sampled_from([0.5, 3.0, LEASE_DURATION_S, CLAIM_WAIT_S, 25.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def switch_log(self):
        self.log_up = not self.log_up

    @invariant()
    def one_holder_at_a_time(self):
        assert sum(seat.is_held() for _, seat, _ in self.holders) <= 1

    @invariant()
    def no_window_holds_more_than_the_share(self):
        for begin in self.sent_at:
            inside = [at for at in self.sent_at if begin <= at < begin + self.WINDOW_S]
            assert len(inside) <= self.SHARE


TestBudgetMachine = BudgetMachine.TestCase
