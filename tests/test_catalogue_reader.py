"""Reading the log: outages, trimming, lost records, paused readers, peer snapshots."""

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
    """An in-memory log of the platform; ``during_read`` is called within each read."""

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

    async def adopt_peer_state():
        if peer is None:
            return False
        catalogue.adopt_snapshot(peer.take_snapshot())
        return True

    reader = CatalogueReader(
        catalogue=catalogue,
        log=log,
        retention_s=retention_s,
        adopt_peer_state=adopt_peer_state,
        get_checkpoint_rank=lambda: 0,
    )
    return reader, catalogue


def read_until(reader, condition, *, writing=False):
    async def run():
        tasks = [asyncio.ensure_future(reader.read_forever())]
        if writing:
            tasks.append(asyncio.ensure_future(reader.write_checkpoints_forever()))
        try:
            async with asyncio.timeout(8.0):
                while not condition():
                    await asyncio.sleep(0.01)
                    for task in tasks:
                        if task.done():
                            task.result()
        finally:
            for task in tasks:
                task.cancel()

    asyncio.run(run())


CHANGES = [make_change("a"), make_change("b", base=1), make_change("c", base=2)]


def test_state_adopted_from_peer_during_read_wins():
    log = FakeLog(CHANGES)
    reader, catalogue = make_reader(log)
    log.during_read = lambda: catalogue.adopt_snapshot(
        replay_payloads(CHANGES[:2]).take_snapshot()
    )
    read_until(reader, lambda: catalogue.next_offset == 3)
    assert catalogue.get_state("fittings").revision == 3


@pytest.mark.parametrize("peer_has", [0, 3])
def test_new_reader_waits_for_ready_peer_during_log_outage(peer_has):
    log = FakeLog(CHANGES)
    log.down = True
    peer = replay_payloads(CHANGES[:peer_has]) if peer_has else None
    reader, catalogue = make_reader(log, peer=peer)
    if peer is None:
        with pytest.raises(TimeoutError):
            read_until(reader, lambda: reader.caught_up)
        return
    read_until(reader, lambda: reader.caught_up)
    assert catalogue.position == 3


def test_reader_starts_from_checkpoint_of_trimmed_log():
    log = FakeLog(CHANGES)
    writer, writer_catalogue = make_reader(log, retention_s=0.5)
    read_until(writer, lambda: writer_catalogue.checkpoint_offset >= 0, writing=True)
    log.trim(3)
    log.records.append(make_change("d", base=3))
    reader, catalogue = make_reader(log)
    read_until(reader, lambda: catalogue.next_offset == log.first + len(log.records))
    assert catalogue.get_state("fittings").revision == 4
    assert catalogue.position == writer_catalogue.position + len(log.records) - 1


@pytest.mark.parametrize("kept", [0, 1, 2])
@pytest.mark.parametrize("regrown", [[], [make_change("x", service="stock")]])
def test_log_that_lost_records_is_restored_without_reverting_state(kept, regrown):
    log = FakeLog(CHANGES)
    reader, catalogue = make_reader(log)
    read_until(reader, lambda: catalogue.next_offset == 3)
    log.records = [*CHANGES[:kept], *regrown]
    read_until(reader, lambda: catalogue.checkpoint_offset >= 0, writing=True)
    assert reader.log_loss_count == 1
    assert catalogue.get_state("fittings").revision == 3
    new_reader, new_catalogue = make_reader(log)
    read_until(new_reader, lambda: new_catalogue.next_offset == len(log.records))
    held = [(one.service, one.revision, one.change_id) for one in catalogue.list_states()]
    assert held == [
        (one.service, one.revision, one.change_id) for one in new_catalogue.list_states()
    ]


def test_reader_paused_beyond_retention_catches_up():
    log = FakeLog(CHANGES[:1])
    paused_reader, paused_catalogue = make_reader(log)
    read_until(paused_reader, lambda: paused_catalogue.next_offset == 1)
    log.records += CHANGES[1:]
    writer, writer_catalogue = make_reader(log, retention_s=0.5)
    read_until(writer, lambda: writer_catalogue.checkpoint_offset >= 0, writing=True)
    log.trim(2)
    read_until(paused_reader, lambda: paused_catalogue.next_offset == log.first + len(log.records))
    assert paused_catalogue.get_state("fittings").revision == 3
