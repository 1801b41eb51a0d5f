"""Tests of the catalogue: entries, records, checkpoints, and its state compared with a model."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from jasmineseam.catalogue.entry import CatalogueEntry
from jasmineseam.catalogue.entry import RequestRule
from jasmineseam.catalogue.entry import check_entry
from jasmineseam.catalogue.records import Change
from jasmineseam.catalogue.records import CheckpointPart
from jasmineseam.catalogue.records import compute_snapshot_digest
from jasmineseam.catalogue.records import encode_record
from jasmineseam.catalogue.records import join_checkpoint_parts
from jasmineseam.catalogue.records import split_snapshot
from jasmineseam.catalogue.state import Catalogue
from jasmineseam.catalogue.state import find_checkpoint
from jasmineseam.exceptions import InvalidEntryError

SERVICES = ("fittings", "stock", "batches")


def make_change(change_id, service="fittings", base=0, owner="kalipso"):
    body = None if owner is None else {"service": service, "owner": owner}
    change = Change(change_id=change_id, service=service, base_revision=base, body=body)
    return encode_record(change)


def replay_payloads(payloads):
    catalogue = Catalogue()
    for offset, payload in enumerate(payloads):
        catalogue.apply_record(offset, payload)
    return catalogue


def encode_checkpoint(checkpoint_id, catalogue):
    parts = split_snapshot(checkpoint_id, catalogue.take_snapshot())
    return [encode_record(part) for part in parts]


@pytest.mark.parametrize(
    ("method", "path", "idempotent"),
    [
        ("GET", "/sizes", True),
        ("DELETE", "/sizes", True),
        ("POST", "/orders", False),
        ("PATCH", "/orders", False),
        ("POST", "/search/by-size", True),
        ("PUT", "/seals/7", False),
    ],
)
def test_idempotency_follows_method_and_rules(method, path, idempotent):
    rules = [
        RequestRule(method="POST", path_prefix="/search", idempotent=True),
        RequestRule(method="PUT", path_prefix="/seals", idempotent=False),
    ]
    entry = CatalogueEntry(service="stock", owner="kalipso", rules=rules)
    assert entry.is_idempotent(method, path) is idempotent


@pytest.mark.parametrize(
    ("body", "paths"),
    [
        ({}, ["service", "owner"]),
        ({"service": "A", "owner": ""}, ["service", "owner"]),
        ({"service": "a", "owner": "o", "limits": {"queue": -1, "x": 1}}, ["limits.queue"]),
        ({"service": "a", "owner": "o", "rules": [{"method": "get"}]}, ["rules[0].method"]),
        ({"service": "a", "owner": "o", "traffic_class": "bulk"}, ["traffic_class"]),
        ([], ["document"]),
    ],
)
def test_all_faults_of_an_entry_are_reported(body, paths):
    with pytest.raises(InvalidEntryError) as caught:
        check_entry("entry.json", body)
    fault_paths = [fault.path for fault in caught.value.faults]
    for path in paths:
        assert path in fault_paths


@pytest.mark.parametrize(
    ("payloads", "revision", "accepted"),
    [
        ([make_change("a")], 1, [True]),
        ([make_change("a"), make_change("b", base=1)], 2, [True, True]),
        ([make_change("a"), make_change("b")], 1, [True, False]),
        ([make_change("a"), make_change("a")], 1, [True, None]),
        ([make_change("a", base=3)], 0, [False]),
        ([make_change("a"), make_change("b", base=1, owner=None)], 2, [True, True]),
        ([make_change("a", owner=None)], 0, [False]),
        (["not json", make_change("a")], 1, [None, True]),
        (['{"type":"other"}', make_change("a")], 1, [None, True]),
        ([make_change("a", owner=""), make_change("b")], 1, [False, True]),
    ],
)
def test_the_order_of_the_log_determines_which_changes_are_accepted(payloads, revision, accepted):
    catalogue = Catalogue()
    results = []
    for offset, payload in enumerate(payloads):
        outcome = catalogue.apply_record(offset, payload)
        results.append(None if outcome is None else outcome.accepted)
    state = catalogue.get_state("fittings")
    assert results == accepted
    assert (state.revision if state else 0) == revision
    assert catalogue.position == len(payloads)


def test_the_outcome_of_a_rejected_change_names_the_conflicting_change():
    catalogue = replay_payloads([make_change("a")])
    outcome = catalogue.apply_record(1, make_change("b"))
    assert (outcome.accepted, outcome.beaten_by, outcome.revision) == (False, "a", 1)


def test_checkpoint_parts_join_in_any_order_unless_one_is_missing_or_corrupt():
    payloads = [make_change(f"c{n}", service=f"service-{n}") for n in range(250)]
    catalogue = replay_payloads(payloads)
    parts = split_snapshot("cp", catalogue.take_snapshot())
    assert len(parts) == 3
    snapshot = join_checkpoint_parts(list(reversed(parts)))
    assert compute_snapshot_digest(snapshot) == compute_snapshot_digest(catalogue.take_snapshot())
    assert join_checkpoint_parts(parts[:2]) is None
    parts[1].snapshot.entries.pop()
    assert join_checkpoint_parts(parts) is None


@pytest.mark.parametrize(("first", "usable"), [(0, True), (3, True), (4, False)])
def test_a_checkpoint_is_usable_only_if_no_later_record_is_trimmed(first, usable):
    payloads = [make_change("a"), make_change("b", base=1), make_change("c", base=2)]
    old = encode_checkpoint("old", replay_payloads(payloads))
    records = [*payloads, make_change("d", base=3), *old]
    found = find_checkpoint(records[first:], first)
    assert (found is not None) is usable


def test_an_old_checkpoint_of_a_suspended_writer_has_no_effect():
    payloads = [make_change("a")]
    old = encode_checkpoint("old", replay_payloads(payloads))
    payloads += [make_change("b", base=1, owner="newer")]
    catalogue = replay_payloads(payloads)
    catalogue.apply_record(2, old[0])
    assert catalogue.get_state("fittings").entry.owner == "newer"
    assert catalogue.merged_entry_count == 0


def test_a_log_that_lost_its_records_is_restored_by_a_checkpoint():
    ahead = replay_payloads([make_change("a"), make_change("b", base=1)])
    checkpoint = encode_checkpoint("refill", ahead)
    # the log was restored empty; the reader restarts at its first offset, keeps its state, and
    # appends a checkpoint
    ahead.reset_next_offset()
    for offset, payload in enumerate(checkpoint):
        ahead.apply_record(offset, payload)
    new = replay_payloads(checkpoint)
    late = make_change("c", base=2)
    for catalogue in (ahead, new):
        catalogue.apply_record(len(checkpoint), late)
        assert catalogue.get_state("fittings").revision == 3
    assert ahead.position >= new.position >= 3


def test_an_older_snapshot_is_not_adopted():
    older = replay_payloads([make_change("a")]).take_snapshot()
    catalogue = replay_payloads([make_change("a"), make_change("b", base=1)])
    assert catalogue.adopt_snapshot(older) is False
    assert catalogue.get_state("fittings").revision == 2


@given(st.text(max_size=200) | st.binary(max_size=200).map(lambda raw: raw.decode("latin-1")))
def test_invalid_records_are_skipped(payload):
    catalogue = replay_payloads([make_change("a"), payload])
    outcome = catalogue.apply_record(2, make_change("b", base=1))
    assert outcome.accepted


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)


@given(st.dictionaries(st.sampled_from(["service", "owner", "limits", "rules"]), json_values))
def test_a_change_with_any_body_is_accepted_or_rejected(body):
    payload = msgspec.json.encode(
        {
            "type": "change",
            "change_id": "x",
            "service": "a",
            "base_revision": 0,
            "body": body,
        }
    ).decode()
    catalogue = replay_payloads([payload])
    assert catalogue.position == 1


class CatalogueMachine(RuleBasedStateMachine):
    """Compares catalogues that lag, restart and adopt snapshots with a model of the log."""

    def __init__(self):
        super().__init__()
        self.log = []
        self.first_offset = 0
        self.model = {}
        self.change_ids = set()
        self.id_count = 0
        self.readers = [Catalogue(), Catalogue()]
        self.highest = [{}, {}]

    @rule(service=st.sampled_from(SERVICES), base=st.integers(0, 3), repeat=st.booleans())
    def append_change(self, service, base, repeat):
        if not repeat or not self.id_count:
            self.id_count += 1
        change_id = f"change-{self.id_count}"
        self.log.append(make_change(change_id, service, base, owner=change_id))
        if change_id in self.change_ids:
            return
        self.change_ids.add(change_id)
        if self.model.get(service, (0, ""))[0] == base:
            self.model[service] = (base + 1, change_id)

    @rule()
    def append_invalid_record(self):
        self.log.append("{")

    @rule(reader=st.integers(0, 1))
    def append_checkpoint(self, reader):
        self.id_count += 1
        self.log += encode_checkpoint(f"cp-{self.id_count}", self.readers[reader])

    @rule(count=st.integers(1, 4))
    def trim_log(self, count):
        self.first_offset = min(self.first_offset + count, len(self.log))

    @rule(reader=st.integers(0, 1), count=st.integers(1, 6))
    def apply_next_records(self, reader, count):
        catalogue = self.readers[reader]
        if catalogue.next_offset < self.first_offset:
            snapshot = find_checkpoint(self.log[self.first_offset :], self.first_offset)
            if snapshot is None or not catalogue.adopt_snapshot(snapshot):
                return
        for payload in self.log[catalogue.next_offset :][:count]:
            catalogue.apply_record(catalogue.next_offset, payload)

    @rule(reader=st.integers(0, 1))
    def adopt_from_peer(self, reader):
        self.readers[reader].adopt_snapshot(self.readers[1 - reader].take_snapshot())

    @rule(reader=st.integers(0, 1))
    def replace_reader(self, reader):
        self.readers[reader] = Catalogue()
        self.highest[reader] = {}

    @invariant()
    def positions_and_revisions_never_decrease(self):
        for catalogue, highest in zip(self.readers, self.highest, strict=True):
            assert catalogue.position >= highest.get("position", 0)
            highest["position"] = catalogue.position
            for state in catalogue.list_states():
                assert state.revision >= highest.get(state.service, 0)
                highest[state.service] = state.revision

    @invariant()
    def readers_at_the_end_of_the_log_match_the_model(self):
        for catalogue in self.readers:
            if catalogue.next_offset != len(self.log):
                continue
            states = {
                state.service: (state.revision, state.change_id)
                for state in catalogue.list_states()
            }
            assert states == self.model


TestCatalogueMachine = CatalogueMachine.TestCase


def test_splitting_an_empty_snapshot_returns_a_checkpoint_part():
    part = split_snapshot("cp", Catalogue().take_snapshot())[0]
    assert isinstance(part, CheckpointPart)
