"""Report of ``jasmineseam-ctl check`` on a configuration of nodes."""

from __future__ import annotations

import pathlib

import jsonc
import msgspec

from ..exceptions import InvalidRecordError
from ..platform.records import decode_routing_table
from ..routing.configuration_check import Finding
from ..routing.configuration_check import check_table
from ..routing.configuration_check import describe_changes
from ..routing.routes import RoutingTable


class ConfigurationReport(msgspec.Struct, kw_only=True):
    """What was found in a configuration.

    :param changes: differences from the configuration in force, if one was given.
    """

    findings: list[Finding] = []
    changes: list[str] = []

    @property
    def exit_code(self) -> int:
        """0 without findings, 1 with warnings, 2 with errors."""
        severities = {finding.severity for finding in self.findings}
        return 2 if "error" in severities else int(bool(severities))


def is_configuration(file: pathlib.Path) -> bool:
    """Return whether a file holds a configuration of nodes rather than a catalogue entry."""
    try:
        return "routes" in jsonc.loads(file.read_text(encoding="utf-8"))
    except (OSError, ValueError, TypeError):
        # The check of an entry reports what is wrong with the file.
        return False


def check_configuration(
    file: pathlib.Path, against: pathlib.Path | None = None
) -> ConfigurationReport:
    """Check a configuration.

    :param against: the configuration in force, ``None`` to list no differences.
    """
    report = ConfigurationReport()
    table = _read_table(file, report)
    old = None if against is None else _read_table(against, report)
    if table is not None:
        report.findings += check_table(table)
    if table is not None and old is not None:
        report.changes = describe_changes(old, table)
    return report


def format_report(report: ConfigurationReport) -> str:
    """Return a report as lines of text."""
    lines = [f"{found.severity}: {found.entry}: {found.text}" for found in report.findings]
    lines += [f"change: {change}" for change in report.changes]
    return "\n".join(lines or ["nothing found"])


def _read_table(file: pathlib.Path, report: ConfigurationReport) -> RoutingTable | None:
    try:
        configuration = jsonc.loads(file.read_text(encoding="utf-8"))
        return decode_routing_table(msgspec.json.encode(configuration))
    except (OSError, ValueError, InvalidRecordError) as error:
        report.findings.append(Finding(severity="error", entry=str(file), text=str(error)))
    return None
