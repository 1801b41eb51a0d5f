"""The stand-in store: conditional appends, and producers with epochs and sequence numbers."""

import pytest

from tests.deployment import run_scenario

RECORD = b"\x00\x00\x00\x03\x01kv"


async def append(deployment, **query):
    params = {"topic": "keyed.own", "part": "0", **{name: str(v) for name, v in query.items()}}
    url = f"http://{deployment.store_address}/api/log-append"
    async with deployment.session.post(url, params=params, data=RECORD) as response:
        return response.status, await response.json()


APPENDS = [
    # the expected end offset matches, then does not
    ([{"at": 0}, {"at": 1}, {"at": 1}], [200, 200, 412], {"end": 2}),
    # a repeated append receives the first response again
    (
        [{"producer": "p", "epoch": 1, "sequence": n} for n in (4, 5, 5)],
        [200, 200, 200],
        {"offset": 1, "end": 2},
    ),
    # a gap in the sequence numbers
    (
        [{"producer": "p", "epoch": 1, "sequence": n} for n in (4, 6)],
        [200, 409],
        {"why": "seq", "sequence": 5},
    ),
    # an older epoch is fenced once a newer one has begun
    (
        [{"producer": "p", "epoch": e, "sequence": n} for e, n in ((1, 1), (2, 9), (1, 2))],
        [200, 200, 409],
        {"why": "fenced"},
    ),
]


@pytest.mark.parametrize(("appends", "statuses", "last"), APPENDS)
def test_appends_take_effect_only_if_their_conditions_hold(appends, statuses, last):
    async def scenario(deployment):
        responses = [await append(deployment, **query) for query in appends]
        assert [status for status, _ in responses] == statuses
        assert responses[-1][1] == last

    run_scenario(scenario)


def test_repeated_append_adds_no_record():
    async def scenario(deployment):
        for _ in range(3):
            await append(deployment, producer="p", epoch=1, sequence=1)
        _, response = await append(deployment)
        assert response["offset"] == 1

    run_scenario(scenario)
