"""Log lines of a node: bounded, never blocking, failures before successes."""

import json
import os

import pytest

from jasmineseam.operations.output import MAX_BUFFERED_LINES
from jasmineseam.operations.output import LineOutput
from jasmineseam.operations.request_log import RequestLog
from jasmineseam.operations.request_log import RequestLogLine


@pytest.fixture
def pipe():
    """Return both ends of a pipe that does not block."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


def test_lines_are_written_whole_and_in_order(pipe):
    output = LineOutput(descriptor=pipe[1])
    for number in range(100):
        output.write(f"line {number}".encode())
    output.flush()
    assert os.read(pipe[0], 65_536).decode().splitlines() == [f"line {n}" for n in range(100)]


def test_a_reader_that_does_not_read_blocks_nothing_and_gets_whole_lines_later(pipe):
    output = LineOutput(descriptor=pipe[1])
    line = b"x" * 999
    for _ in range(MAX_BUFFERED_LINES + 50):
        output.write(line)
    assert output.dropped_lines == 50
    received = b""
    for _ in range(200):
        output.flush()
        received += os.read(pipe[0], 65_536)
        if received.count(b"\n") == MAX_BUFFERED_LINES:
            break
    assert set(received.splitlines()) == {line}
    assert received.count(b"\n") == MAX_BUFFERED_LINES


def test_lines_without_a_reader_are_counted():
    reading, writing = os.pipe()
    os.close(reading)
    output = LineOutput(descriptor=writing)
    output.write(b"a")
    output.write(b"b")
    output.flush()
    output.write(b"c")
    os.close(writing)
    assert output.dropped_lines >= 2


def note(journal, *, usual, now):
    """Offer the journal a line as a node does."""
    if journal.admit(usual=usual, now=now):
        journal.write(
            RequestLogLine(id="q", outcome="answered" if usual else "late", status=200, ms=1)
        )


@pytest.mark.parametrize(
    ("usuals", "written", "dropped"),
    [
        ([True] * 30, 5, 25),
        ([False] * 30, 10, 20),
        ([True] * 30 + [False] * 3, 8, 25),
    ],
)
def test_usual_answers_leave_room_for_failures(usuals, written, dropped):
    lines = []
    journal = RequestLog(write=lines.append, lines_per_s=10)
    for usual in usuals:
        note(journal, usual=usual, now=1.0)
    assert (len(lines), journal.dropped_lines) == (written, dropped)
    note(journal, usual=True, now=2.5)
    assert json.loads(lines[-1]).get("dropped", 0) == dropped - sum(
        json.loads(line).get("dropped", 0) for line in lines[:-1]
    )
