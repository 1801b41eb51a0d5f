"""Competition of client accounts for the servers of one service, on virtual time."""

import asyncio
import collections
import random

import pytest

from bench.virtual_time import run_in_virtual_time
from jasmineseam.exceptions import NotRunError
from jasmineseam.measuring.load_reports import DetailedLoadReport
from jasmineseam.routing.dispatch import AccountShare
from jasmineseam.routing.dispatch import Dispatcher
from jasmineseam.routing.dispatch import PlacementRequest
from jasmineseam.routing.load import ServerLoad
from jasmineseam.routing.service_times import ServiceTimes

SERVICE_TIME_S = 0.1
TARGET_S = 0.4
DEADLINE_S = 1.5
ACCOUNT_COUNT = 76
DURATION_S = 12.0
SERVER_COUNT = 4
SLOTS = 4
CAPACITY_PER_S = SERVER_COUNT * SLOTS / SERVICE_TIME_S


class _Outcomes:
    def __init__(self):
        self.asked = collections.Counter()
        self.in_time = collections.Counter()
        self.served = collections.Counter()


async def _run_load(rates_per_s, *, priorities, weights, fair=True, seed=1):
    """Send requests of accounts to one service; return what they got.

    :param rates_per_s: requests per second of each account.
    :param priorities: account's and route's priority of each account.
    :param weights: quota of each account.
    :param fair: whether the dispatcher knows the accounts.
    """
    loop = asyncio.get_running_loop()
    rng = random.Random(seed)
    dispatcher = Dispatcher(
        service="s",
        failure_domain="d",
        clock=loop.time,
        rng=rng,
        service_times=ServiceTimes(initial_s=SERVICE_TIME_S),
    )
    for number in range(SERVER_COUNT):
        load = ServerLoad(
            server_id=f"s{number}", address="", failure_domain="d", slots=SLOTS, now=loop.time()
        )
        load.record_report(
            DetailedLoadReport(running=0, waiting=0, slots=SLOTS, slowness=1.0), loop.time()
        )
        dispatcher.loads[load.server_id] = load
    outcomes = _Outcomes()

    async def run_request(account):
        started_at = loop.time()
        account_priority, route_priority = priorities[account]
        share = AccountShare(account, account_priority, weights[account]) if fair else None
        request = PlacementRequest(
            route_priority,
            SERVICE_TIME_S,
            started_at + TARGET_S,
            started_at + DEADLINE_S,
            set(),
            account=share,
        )
        outcomes.asked[account] += 1
        try:
            load = await dispatcher.place(request)
        except NotRunError:
            return
        token = load.start_request(loop.time())
        # The server has a slot for each request that it gets here.
        await asyncio.sleep(SERVICE_TIME_S * rng.uniform(0.7, 1.3))
        load.finish_request(token)
        dispatcher.record_completion()
        outcomes.served[account] += 1
        outcomes.in_time[account] += loop.time() - started_at <= TARGET_S

    async def send_requests(account, rate_per_s):
        ends_at = loop.time() + DURATION_S
        tasks = []
        while loop.time() < ends_at:
            await asyncio.sleep(rng.expovariate(rate_per_s))
            tasks.append(asyncio.create_task(run_request(account)))
        await asyncio.gather(*tasks)

    await asyncio.gather(*(send_requests(*item) for item in rates_per_s.items()))
    return outcomes


def _play(rates_per_s, **options):
    return run_in_virtual_time(lambda: _run_load(rates_per_s, **options))


def _compute_rates(load_factor, greedy_factor):
    """Return rates and quotas of 76 accounts; the first sends a multiple of its usual demand."""
    # The first account is as large as a tenth of all.
    others_per_s = 0.9 * load_factor * CAPACITY_PER_S / (ACCOUNT_COUNT - 1)
    rates = {f"a{number}": others_per_s for number in range(1, ACCOUNT_COUNT)}
    rates["a0"] = 0.1 * load_factor * CAPACITY_PER_S
    weights = {name: 1.6 * rate_per_s for name, rate_per_s in rates.items()}
    rates["a0"] *= greedy_factor
    return rates, weights


def _share_in_time(outcomes, accounts):
    return sum(outcomes.in_time[name] for name in accounts) / sum(
        outcomes.asked[name] for name in accounts
    )


# load without the excess, multiple of the first account, least share of the others in time
LOADS = [
    (0.8, 1, 0.95),
    (0.8, 3, 0.9),
    (0.8, 8, 0.9),
    (1.2, 3, 0.6),
    (1.2, 8, 0.6),
    (2.0, 8, 0.3),
]


@pytest.mark.parametrize(("load_factor", "greedy_factor", "least_share"), LOADS)
def test_excess_of_one_account_is_paid_by_that_account(load_factor, greedy_factor, least_share):
    # Without an order by account, the others lost as much as the account that sent eight times its
    # usual demand.
    rates, weights = _compute_rates(load_factor, greedy_factor)
    priorities = dict.fromkeys(rates, (0, 0))
    others = [name for name in rates if name != "a0"]
    outcomes = run_in_virtual_time(
        lambda: _run_load(rates, priorities=priorities, weights=weights)
    )
    share = _share_in_time(outcomes, others)
    assert share >= least_share
    if greedy_factor > 1 and load_factor * (0.9 + 0.1 * greedy_factor) > 1.0:
        assert share > _share_in_time(outcomes, ["a0"])
    served = sum(outcomes.served.values()) / sum(outcomes.asked.values())
    assert outcomes.served["a0"] / outcomes.asked["a0"] >= served / 4


@pytest.mark.parametrize("load_factor", [1.2, 2.0, 3.0])
def test_no_rank_is_starved(load_factor):
    # Strict priorities would leave the lower ranks nothing while the higher ones fill all slots.
    rates, weights = _compute_rates(load_factor, 1)
    priorities = {name: (number % 2, number % 3) for number, name in enumerate(rates)}
    outcomes = run_in_virtual_time(
        lambda: _run_load(rates, priorities=priorities, weights=weights)
    )
    served = sum(outcomes.served.values()) / sum(outcomes.asked.values())
    for rank in set(priorities.values()):
        names = [name for name in rates if priorities[name] == rank]
        asked = sum(outcomes.asked[name] for name in names)
        assert sum(outcomes.served[name] for name in names) / asked >= served / 4


def test_more_urgent_accounts_come_first():
    rates, weights = _compute_rates(1.5, 1)
    priorities = {name: (number % 2, 0) for number, name in enumerate(rates)}
    outcomes = run_in_virtual_time(
        lambda: _run_load(rates, priorities=priorities, weights=weights)
    )
    urgent = [name for name in rates if priorities[name][0] == 0]
    rest = [name for name in rates if priorities[name][0] == 1]
    assert _share_in_time(outcomes, urgent) > _share_in_time(outcomes, rest) + 0.2
