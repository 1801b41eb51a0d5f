"""The stand-in store's conditions, and its writers with epochs."""

import pytest

from tests.deployment import play

RECORD = b"\x00\x00\x00\x03\x01kv"


async def append(deployment, **query):
    params = {"topic": "keyed.own", "part": "0", **{name: str(v) for name, v in query.items()}}
    url = f"http://{deployment.store_address}/api/log-append"
    async with deployment.session.post(url, params=params, data=RECORD) as response:
        return response.status, await response.json()


APPENDS = [
    # a condition that holds, and one that does not
    ([{"at": 0}, {"at": 1}, {"at": 1}], [200, 200, 412], {"end": 2}),
    # a repeat gets its first answer again
    (
        [{"producer": "p", "epoch": 1, "sequence": n} for n in (4, 5, 5)],
        [200, 200, 200],
        {"offset": 1, "end": 2},
    ),
    # a gap
    (
        [{"producer": "p", "epoch": 1, "sequence": n} for n in (4, 6)],
        [200, 409],
        {"why": "seq", "sequence": 5},
    ),
    # an older epoch, after a newer one has begun anywhere
    (
        [{"producer": "p", "epoch": e, "sequence": n} for e, n in ((1, 1), (2, 9), (1, 2))],
        [200, 200, 409],
        {"why": "fenced"},
    ),
]


@pytest.mark.parametrize(("appends", "statuses", "last"), APPENDS)
def test_appends_are_done_on_their_conditions(appends, statuses, last):
    async def scenario(deployment):
        answers = [await append(deployment, **query) for query in appends]
        assert [status for status, _ in answers] == statuses
        assert answers[-1][1] == last

    play(scenario)


def test_a_repeat_appends_nothing():
    async def scenario(deployment):
        for _ in range(3):
            await append(deployment, producer="p", epoch=1, sequence=1)
        _, answer = await append(deployment)
        assert answer["offset"] == 1

    play(scenario)
