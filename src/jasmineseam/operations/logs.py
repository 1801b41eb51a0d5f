"""Logging setup with logbook.

Each message carries the name of the component that logs it, the logger's channel. Messages contain
no bodies, keys or secrets.
"""

from __future__ import annotations

import sys

import logbook
import logbook.compat
import msgspec

from .output import LineOutput
from .settings import LogSettings

TEXT_LOG_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} {record.channel}: {record.message}"
)


def set_up_logs(settings: LogSettings) -> None:
    """Write all log records of this process to the destination in the settings."""
    logbook.compat.redirect_logging()
    level = logbook.lookup_level(settings.level.upper())
    if settings.destination == "syslog":
        handler: logbook.Handler = logbook.SyslogHandler("jasmineseam", level=level)
    else:
        stream = sys.stderr if settings.destination == "stderr" else sys.stdout
        handler = logbook.StreamHandler(stream, level=level)
    if settings.format == "json":
        handler.formatter = _format_json
    else:
        handler.format_string = TEXT_LOG_FORMAT
    handler.push_application()


class _LineOutputHandler(logbook.Handler):
    """Writes log records to an output that never blocks."""

    def __init__(self, output: LineOutput, level: int) -> None:
        super().__init__(level=level)
        self._output = output
        self.formatter = _format_json

    def emit(self, record: logbook.LogRecord) -> None:
        self._output.write(self.format(record).encode())


def set_up_node_logs(settings: LogSettings, output: LineOutput) -> None:
    """Write all log records of this process, as JSON lines, to a buffered output."""
    logbook.compat.redirect_logging()
    level = logbook.lookup_level(settings.level.upper())
    _LineOutputHandler(output, level).push_application()


def _format_json(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name,
        "part": record.channel,
        "message": record.message,
    }
    if record.exc_info:
        line["error"] = record.formatted_exception
    return msgspec.json.encode(line).decode()
