"""The final response to a request, and the header that states its outcome."""

from __future__ import annotations

import enum
import math

import msgspec

from ..exceptions import NotRunError
from ..exceptions import UnknownOutcomeError

OUTCOME_HEADER = "Jasmineseam-Outcome"
PROBLEM_CONTENT_TYPE = "application/problem+json"


class Outcome(enum.Enum):
    """Whether a request was run.

    ``ANSWERED`` means that the request was run, ``NOT_RUN`` that it was not run, ``UNKNOWN`` that
    it may have been run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class CallerResponse(msgspec.Struct, kw_only=True):
    """A complete response to a caller.

    :param headers: names and values, in order.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    outcome: Outcome = Outcome.ANSWERED


def build_not_run_response(error: NotRunError) -> CallerResponse:
    """Build the response to a request that was not run."""
    return _build_problem_response(error, Outcome.NOT_RUN)


def build_unknown_outcome_response(error: UnknownOutcomeError) -> CallerResponse:
    """Build the response to a request that may have been run."""
    return _build_problem_response(error, Outcome.UNKNOWN)


def _build_problem_response(
    error: NotRunError | UnknownOutcomeError, outcome: Outcome
) -> CallerResponse:
    problem = {"title": error.reason, "status": error.status, "outcome": outcome.value}
    headers = [("Content-Type", PROBLEM_CONTENT_TYPE)]
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, math.ceil(error.retry_after_s)))))
    body = msgspec.json.encode(problem)
    return CallerResponse(status=error.status, headers=headers, body=body, outcome=outcome)
