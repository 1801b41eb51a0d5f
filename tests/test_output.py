"""Log output of a node: bounded, non-blocking, with a part of the rate limit kept for failures."""

import json
import os

import pytest

from jasmineseam.operations.output import MAX_BUFFERED_LINES
from jasmineseam.operations.output import LineOutput
from jasmineseam.operations.request_log import RequestLog
from jasmineseam.operations.request_log import RequestLogLine


@pytest.fixture
def pipe():
    """Return both ends of a pipe with a non-blocking write end."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


def test_lines_are_written_completely_and_in_order(pipe):
    output = LineOutput(descriptor=pipe[1])
    for number in range(100):
        output.write(f"line {number}".encode())
    output.flush()
    assert os.read(pipe[0], 65_536).decode().splitlines() == [f"line {n}" for n in range(100)]


def test_stalled_reader_does_not_block_and_receives_complete_lines_later(pipe):
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


def test_lines_for_a_closed_pipe_are_counted_as_dropped():
    reading, writing = os.pipe()
    os.close(reading)
    output = LineOutput(descriptor=writing)
    output.write(b"a")
    output.write(b"b")
    output.flush()
    output.write(b"c")
    os.close(writing)
    assert output.dropped_lines >= 2


def log_request(request_log, *, in_time, now):
    """Write a line to the request log if it is admitted, as a node does."""
    if request_log.admit(in_time=in_time, now=now):
        request_log.write(
            RequestLogLine(id="q", outcome="answered" if in_time else "late", status=200, ms=1)
        )


@pytest.mark.parametrize(
    ("in_time_flags", "written", "dropped"),
    [
        ([True] * 30, 5, 25),
        ([False] * 30, 10, 20),
        ([True] * 30 + [False] * 3, 8, 25),
    ],
)
def test_requests_answered_in_time_leave_part_of_the_rate_limit_for_failures(
    in_time_flags, written, dropped
):
    lines = []
    request_log = RequestLog(write=lines.append, lines_per_s=10)
    for in_time in in_time_flags:
        log_request(request_log, in_time=in_time, now=1.0)
    assert (len(lines), request_log.dropped_lines) == (written, dropped)
    log_request(request_log, in_time=True, now=2.5)
    assert json.loads(lines[-1]).get("dropped", 0) == dropped - sum(
        json.loads(line).get("dropped", 0) for line in lines[:-1]
    )
