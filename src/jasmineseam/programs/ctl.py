"""``jasmineseam-ctl``: the command-line tool for operators.

Exit codes: 0 success, 1 refused, 2 usage error, 3 outcome unknown. The check of a configuration
has its own: 0 nothing found, 1 warnings, 2 errors.
"""

from __future__ import annotations

import asyncio
import enum
import pathlib
import secrets
import sys
import time
import typing as t

import defopt
import jsonc
import msgspec

from ..catalogue.entry import CatalogueEntry
from ..catalogue.entry import check_entry
from ..catalogue.records import Change
from ..catalogue.records import encode_record
from ..exceptions import InvalidEntryError
from ..exceptions import LogUnavailableError
from ..operations.daemon import load_settings_or_exit
from ..operations.explanation import LogLines
from ..operations.explanation import collect_log_lines
from ..operations.explanation import explain_request
from ..operations.explanation import format_explanation
from ..operations.explanation import list_node_starts
from ..operations.settings import Settings
from ..peers.messages import DumpReply
from ..peers.messages import DumpRequest
from ..standalone.log_client import CATALOGUE_STREAM
from .configuration_report import check_configuration
from .configuration_report import format_report
from .configuration_report import is_configuration
from .operator_client import CommandReport
from .operator_client import OperatorClient

AGENT_POLL_INTERVAL_S = 0.2
T = t.TypeVar("T")


class ExitCode(enum.IntEnum):
    """Exit codes of the command."""

    SUCCESS = 0
    REFUSED = 1
    USAGE_ERROR = 2
    OUTCOME_UNKNOWN = 3


async def _append_change(
    client: OperatorClient, change: Change, timeout_s: float
) -> CommandReport:
    """Append a change to the log and wait for its outcome.

    If the response to an append is lost, the change is appended again under the same id. The
    catalogue applies a change id only once, so a duplicate has no effect.
    """
    deadline = time.monotonic() + timeout_s
    detail = "no agent has reported an outcome of the change"
    appended = False
    while time.monotonic() < deadline:
        try:
            if not appended and not await client.is_log_complete():
                detail = "the log has lost records; waiting until the agents have restored them"
                await asyncio.sleep(AGENT_POLL_INTERVAL_S)
                continue
            if not appended:
                await client.log_client.append(CATALOGUE_STREAM, encode_record(change))
                appended = True
        except LogUnavailableError as error:
            detail = f"the log is not available: {error}"
        report = await client.find_change_outcome(change)
        if report is not None:
            return report
        await asyncio.sleep(AGENT_POLL_INTERVAL_S)
    return CommandReport(
        status="not-known", service=change.service, change_id=change.change_id, detail=detail
    )


async def _wait_until_in_force(
    client: OperatorClient, service: str, revision: int, timeout_s: float
) -> CommandReport:
    deadline = time.monotonic() + timeout_s
    while True:
        pending = await client.list_pending_processes(service, revision)
        if not pending:
            return CommandReport(status="in-force", service=service, revision=revision)
        if time.monotonic() >= deadline:
            return CommandReport(
                status="not-known", service=service, revision=revision, missing=pending
            )
        await asyncio.sleep(AGENT_POLL_INTERVAL_S)


async def _publish_change(
    client: OperatorClient,
    service: str,
    body: dict[str, t.Any] | None,
    base_revision: int | None,
    change_id: str,
    timeout_s: float,
) -> CommandReport:
    if base_revision is None:
        state = await client.find_newest_state(service)
        base_revision = state.revision if state else 0
    change = Change(
        change_id=change_id or secrets.token_hex(16),
        service=service,
        base_revision=base_revision,
        body=body,
    )
    report = await _append_change(client, change, timeout_s)
    if report.status != "accepted":
        return report
    in_force = await _wait_until_in_force(client, service, report.revision, timeout_s)
    report.status = "in-force" if in_force.status == "in-force" else "accepted"
    report.missing = in_force.missing
    return report


def _run_with_client(
    settings: Settings, run_command: t.Callable[[OperatorClient], t.Awaitable[T]]
) -> T:
    async def run() -> T:
        async with OperatorClient(settings=settings) as client:
            return await run_command(client)

    return asyncio.run(run())


def _read_entry(path: pathlib.Path) -> CatalogueEntry:
    try:
        return check_entry(str(path), jsonc.loads(path.read_text(encoding="utf-8")))
    except InvalidEntryError as error:
        for fault in error.faults:
            print(f"{error.source}: {fault}", file=sys.stderr)
    except (OSError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
    sys.exit(ExitCode.REFUSED)


def _print_and_exit(report: CommandReport, as_json: bool) -> t.NoReturn:
    if as_json:
        print(msgspec.json.encode(report).decode())
    else:
        parts = [report.status, report.service, f"revision {report.revision}"]
        if report.beaten_by:
            parts.append(f"accepted instead: change {report.beaten_by}")
        if report.detail:
            parts.append(report.detail)
        if report.missing:
            parts.append("not yet at " + ", ".join(report.missing))
        if report.change_id:
            parts.append(f"change {report.change_id}")
        print("; ".join(parts))
    sys.exit(_get_exit_code(report))


def _get_exit_code(report: CommandReport) -> ExitCode:
    if report.status == "refused":
        return ExitCode.REFUSED
    if report.status == "not-known" or report.missing:
        return ExitCode.OUTCOME_UNKNOWN
    return ExitCode.SUCCESS


def check(file: pathlib.Path, *, against: pathlib.Path | None = None, json: bool = False) -> None:
    """Check a catalogue entry, or a configuration of nodes, without publishing it.

    A file with routes is a configuration. Its check exits with 0 if nothing was found, with 1
    after warnings and with 2 after errors.

    :param file: the entry, JSON with comments, or the configuration.
    :param against: the configuration in force; the differences are printed.
    :param json: print the result as JSON.
    """
    if against is not None or is_configuration(file):
        report = check_configuration(file, against)
        print(msgspec.json.encode(report).decode() if json else format_report(report))
        sys.exit(report.exit_code)
    entry = _read_entry(file)
    _print_and_exit(CommandReport(status="valid", service=entry.service), json)


def publish(
    settings_file: pathlib.Path,
    entry_file: pathlib.Path,
    *,
    base_revision: int | None = None,
    change_id: str = "",
    timeout_s: float = 12.0,
    json: bool = False,
) -> None:
    """Publish a catalogue entry, and wait until every process applies it.

    :param settings_file: an entry VM's settings.
    :param entry_file: the entry, JSON with comments.
    :param base_revision: the revision that this change is based on; by default the
        newest revision that an agent holds.
    :param change_id: id of an earlier publication with an unknown outcome, to repeat it; by
        default a new id.
    :param timeout_s: how long to wait for the outcome, and then again for the processes, in
        seconds.
    :param json: print the result as JSON.
    """
    settings = load_settings_or_exit(settings_file)
    entry = _read_entry(entry_file)
    body = msgspec.to_builtins(entry)
    report = _run_with_client(
        settings,
        lambda client: _publish_change(
            client, entry.service, body, base_revision, change_id, timeout_s
        ),
    )
    _print_and_exit(report, json)


def withdraw(
    settings_file: pathlib.Path,
    service: str,
    *,
    base_revision: int | None = None,
    change_id: str = "",
    timeout_s: float = 12.0,
    json: bool = False,
) -> None:
    """Withdraw a catalogue entry, and wait until every process applies the withdrawal.

    :param settings_file: an entry VM's settings.
    :param service: name of the entry's service.
    :param base_revision: the revision that this change is based on; by default the
        newest revision that an agent holds.
    :param change_id: id of an earlier withdrawal with an unknown outcome, to repeat it; by
        default a new id.
    :param timeout_s: how long to wait for the outcome, and then again for the processes, in
        seconds.
    :param json: print the result as JSON.
    """
    settings = load_settings_or_exit(settings_file)
    report = _run_with_client(
        settings,
        lambda client: _publish_change(client, service, None, base_revision, change_id, timeout_s),
    )
    _print_and_exit(report, json)


def show(settings_file: pathlib.Path, service: str, *, json: bool = False) -> None:
    """Show the newest state of an entry that any agent holds.

    :param settings_file: an entry VM's settings.
    :param service: name of the entry's service.
    :param json: print the state as one line of JSON.
    """
    settings = load_settings_or_exit(settings_file)

    state = _run_with_client(settings, lambda client: client.find_newest_state(service))
    if state is None:
        _print_and_exit(
            CommandReport(status="not-known", service=service, detail="no agent holds this entry"),
            json,
        )
    text = msgspec.json.encode(state)
    print(text.decode() if json else msgspec.json.format(text).decode())


def wait(
    settings_file: pathlib.Path,
    service: str,
    revision: int,
    *,
    timeout_s: float = 12.0,
    json: bool = False,
) -> None:
    """Wait until every process applies a revision of an entry.

    :param settings_file: an entry VM's settings.
    :param service: name of the entry's service.
    :param revision: the revision to wait for.
    :param timeout_s: how long to wait for the processes, in seconds.
    :param json: print the result as JSON.
    """
    settings = load_settings_or_exit(settings_file)

    report = _run_with_client(
        settings, lambda client: _wait_until_in_force(client, service, revision, timeout_s)
    )
    _print_and_exit(report, json)


def dump(settings_file: pathlib.Path, address: str = "") -> None:
    """Print the state of a process as JSON.

    :param settings_file: an entry VM's settings.
    :param address: the process's control address, ``ip:port``; by default the VM's agent.
    """
    settings = load_settings_or_exit(settings_file)

    target = address or settings.agent_address
    reply = _run_with_client(settings, lambda client: client.request(target, DumpRequest()))
    if not isinstance(reply, DumpReply):
        _print_and_exit(
            CommandReport(status="not-known", detail="no reply from the process"), False
        )
    print(msgspec.json.format(reply.document))


def explain(request_id: str, *log_files: pathlib.Path, json: bool = False) -> None:
    """Explain the outcome of a request from the nodes' logs.

    :param request_id: the request's id.
    :param log_files: the standard output of the nodes, one file for each node.
    :param json: print the explanation as JSON.
    """
    lines = LogLines()
    for path in log_files:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                collect_log_lines(request_id, path.name, file, lines)
        except OSError as error:
            print(f"{path}: {error}", file=sys.stderr)
            sys.exit(ExitCode.REFUSED)
    if lines.unreadable:
        print(f"{lines.unreadable} lines are no log lines", file=sys.stderr)
    explanations = explain_request(lines)
    if json:
        print(msgspec.json.encode(explanations).decode())
    for explanation in explanations if not json else []:
        print(format_explanation(explanation))
    if explanations:
        sys.exit(ExitCode.SUCCESS)
    print(
        "the logs contain no line for this request; either its node failed before it wrote the "
        "line, or the line was dropped; starts of nodes in these logs:",
        file=sys.stderr,
    )
    for start in list_node_starts(lines):
        print(f"  {start.time.isoformat()} {start.source}", file=sys.stderr)
    sys.exit(ExitCode.OUTCOME_UNKNOWN)


def main() -> None:
    """Run the command line."""
    commands = [check, publish, withdraw, show, wait, dump, explain]
    defopt.run(commands, cli_options="has_default", short={})
