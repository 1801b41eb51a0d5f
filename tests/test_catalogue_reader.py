"""Following the log: outages, trimming, lost records, paused writers, peers in between."""

import asyncio

import pytest

from jasmineseam.catalogue.state import Catalogue
from jasmineseam.exceptions import LogUnavailableError
from jasmineseam.exceptions import RecordsTrimmedError
from jasmineseam.programs.catalogue_reader import CatalogueReader
from jasmineseam.standalone.log_client import LogPage
from tests.test_catalogue import make_change
from tests.test_catalogue import replay_payloads


class FakeLog:
    """The platform's log in memory; ``during_read`` runs while a read is under way."""

    def __init__(self, records=()):
        self.records = list(records)
        self.first = 0
        self.down = False
        self.during_read = lambda: None

    async def append(self, stream, payload):
        if self.down:
            raise LogUnavailableError("down")
        self.records.append(payload)
        return self.first + len(self.records) - 1

    async def read(self, stream, offset):
        if self.down:
            raise LogUnavailableError("down")
        if offset < self.first:
            raise RecordsTrimmedError(self.first)
        page = LogPage(
            first=self.first,
            end=self.first + len(self.records),
            records=self.records[offset - self.first :],
        )
        self.during_read()
        return page

    def trim(self, count):
        del self.records[:count]
        self.first += count


def make_reader(log, *, peer=None, retention_s=3600.0):
    catalogue = Catalogue()

    async def join_peers():
        if peer is None:
            return False
        catalogue.adopt_snapshot(peer.take_snapshot())
        return True

    reader = CatalogueReader(
        catalogue=catalogue,
        log=log,
        retention_s=retention_s,
        adopt_peer_state=join_peers,
        get_checkpoint_rank=lambda: 0,
    )
    return reader, catalogue


def follow_until(reader, holds, *, writing=False):
    async def run():
        tasks = [asyncio.ensure_future(reader.follow())]
        if writing:
            tasks.append(asyncio.ensure_future(reader.write_checkpoints()))
        try:
            async with asyncio.timeout(8.0):
                while not holds():
                    await asyncio.sleep(0.01)
                    for task in tasks:
                        if task.done():
                            task.result()
        finally:
            for task in tasks:
                task.cancel()

    asyncio.run(run())


CHANGES = [make_change("a"), make_change("b", base=1), make_change("c", base=2)]


def test_a_state_taken_from_a_peer_during_a_read_wins():
    log = FakeLog(CHANGES)
    reader, catalogue = make_reader(log)
    log.during_read = lambda: catalogue.adopt_snapshot(
        replay_payloads(CHANGES[:2]).take_snapshot()
    )
    follow_until(reader, lambda: catalogue.next_offset == 3)
    assert catalogue.get_state("fittings").revision == 3


@pytest.mark.parametrize("peer_has", [0, 3])
def test_in_an_outage_a_new_reader_waits_for_a_ready_peer(peer_has):
    log = FakeLog(CHANGES)
    log.down = True
    peer = replay_payloads(CHANGES[:peer_has]) if peer_has else None
    reader, catalogue = make_reader(log, peer=peer)
    if peer is None:
        with pytest.raises(TimeoutError):
            follow_until(reader, lambda: reader.caught_up)
        return
    follow_until(reader, lambda: reader.caught_up)
    assert catalogue.position == 3


def test_a_trimmed_log_is_entered_by_its_checkpoint():
    log = FakeLog(CHANGES)
    writer, written = make_reader(log, retention_s=0.5)
    follow_until(writer, lambda: written.checkpoint_offset >= 0, writing=True)
    log.trim(3)
    log.records.append(make_change("d", base=3))
    reader, catalogue = make_reader(log)
    follow_until(reader, lambda: catalogue.next_offset == log.first + len(log.records))
    assert catalogue.get_state("fittings").revision == 4
    assert catalogue.position == written.position + len(log.records) - 1


@pytest.mark.parametrize("kept", [0, 1, 2])
@pytest.mark.parametrize("regrown", [[], [make_change("x", service="stock")]])
def test_a_log_that_returns_shorter_is_refilled_and_nothing_reverts(kept, regrown):
    log = FakeLog(CHANGES)
    reader, catalogue = make_reader(log)
    follow_until(reader, lambda: catalogue.next_offset == 3)
    log.records = [*CHANGES[:kept], *regrown]
    follow_until(reader, lambda: catalogue.checkpoint_offset >= 0, writing=True)
    assert reader.log_losses == 1
    assert catalogue.get_state("fittings").revision == 3
    newcomer, new = make_reader(log)
    follow_until(newcomer, lambda: new.next_offset == len(log.records))
    held = [(one.service, one.revision, one.change_id) for one in catalogue.list_states()]
    assert held == [(one.service, one.revision, one.change_id) for one in new.list_states()]


def test_a_reader_that_slept_past_the_retention_catches_up():
    log = FakeLog(CHANGES[:1])
    sleeper, asleep = make_reader(log)
    follow_until(sleeper, lambda: asleep.next_offset == 1)
    log.records += CHANGES[1:]
    writer, written = make_reader(log, retention_s=0.5)
    follow_until(writer, lambda: written.checkpoint_offset >= 0, writing=True)
    log.trim(2)
    follow_until(sleeper, lambda: asleep.next_offset == log.first + len(log.records))
    assert asleep.get_state("fittings").revision == 3
