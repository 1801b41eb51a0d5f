"""Reads the catalogue from the platform's log, and writes checkpoints to it."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
import typing as t

import logbook

from ..catalogue.records import compute_payload_digest
from ..catalogue.records import encode_record
from ..catalogue.records import split_snapshot
from ..catalogue.state import Catalogue
from ..catalogue.state import find_checkpoint
from ..exceptions import LogUnavailableError
from ..exceptions import RecordsTrimmedError
from ..standalone.log_client import CATALOGUE_STREAM
from ..standalone.log_client import LogClient

LOG_POLL_INTERVAL_S = 0.25
LOG_RETRY_INTERVAL_S = 0.5
CHECKPOINT_INTERVAL_RECORDS = 500
CHECKPOINT_INTERVAL_RETENTION_FRACTION = 0.25
CHECKPOINT_POLL_INTERVAL_S = 0.5
_logger = logbook.Logger("log")


class CatalogueReader:
    """Keeps a catalogue up to date with the log.

    :param catalogue: the catalogue to apply records to.
    :param log: client of the platform's log.
    :param retention_s: how long the log keeps records, in seconds.
    :param adopt_peer_state: adopts a newer state from the peers when the log cannot provide it;
        returns whether any peer is ready.
    :param get_checkpoint_rank: returns this agent's rank among the live agents, from 0; the delay
        before a checkpoint increases with the rank, so that only one agent writes it.
    """

    def __init__(
        self,
        *,
        catalogue: Catalogue,
        log: LogClient,
        retention_s: float,
        adopt_peer_state: t.Callable[[], t.Awaitable[bool]],
        get_checkpoint_rank: t.Callable[[], int],
    ) -> None:
        self._catalogue = catalogue
        self._log = log
        self._retention_s = retention_s
        self._adopt_peer_state = adopt_peer_state
        self._get_checkpoint_rank = get_checkpoint_rank
        self._log_lost_records = False
        self._checkpoint_offset = -1
        self._checkpoint_changed_at = time.monotonic()
        self.caught_up = False
        self.last_read_at = float("-inf")
        # number of times that a loss of records in the log was detected
        self.log_loss_count = 0

    @property
    def log_available(self) -> bool:
        """Whether the log was read within the last 2 seconds."""
        return time.monotonic() - self.last_read_at < 2.0

    async def read_forever(self) -> None:
        """Read the log until cancelled."""
        while True:
            try:
                more = await self._read_page()
            except RecordsTrimmedError as error:
                more = await self._start_from_checkpoint(error.first_offset)
            except LogUnavailableError as error:
                _logger.debug("Log could not be read, retrying: {}", error)
                if not self.caught_up:
                    self.caught_up = await self._adopt_peer_state()
                # jitter, so that not all agents retry at once when the log is available again
                await asyncio.sleep(LOG_RETRY_INTERVAL_S * random.uniform(0.5, 1.5))
                continue
            if not more:
                await asyncio.sleep(LOG_POLL_INTERVAL_S)

    async def write_checkpoints_forever(self) -> None:
        """Append a checkpoint whenever one is due, until cancelled."""
        while True:
            await asyncio.sleep(CHECKPOINT_POLL_INTERVAL_S)
            if not self._is_checkpoint_due():
                continue
            await asyncio.sleep(self._get_checkpoint_rank() * 2 * CHECKPOINT_POLL_INTERVAL_S)
            if not self._is_checkpoint_due():
                continue
            try:
                await self._append_checkpoint()
            except LogUnavailableError as error:
                _logger.debug(
                    "Checkpoint could not be appended, retrying with the next check: {}", error
                )

    async def _read_page(self) -> bool:
        """Read and apply one page of records; returns whether to read again without delay."""
        catalogue = self._catalogue
        # the last applied record is read again; if its digest differs, the log was rewritten
        overlap = 1 if catalogue.last_digest else 0
        start = catalogue.next_offset - overlap
        try:
            page = await self._log.read(CATALOGUE_STREAM, start)
        except RecordsTrimmedError as error:
            if not overlap or error.first_offset > catalogue.next_offset:
                raise
            # only the overlapping record was trimmed, so no record was missed
            catalogue.last_digest = ""
            return True
        self.last_read_at = time.monotonic()
        if catalogue.next_offset - overlap != start:
            # a newer state was adopted from a peer during the read, so the page is outdated
            return True
        if self._is_log_rewritten(page.end, page.records[:overlap]):
            self._handle_log_loss()
            return True
        for index, payload in enumerate(page.records):
            if index < overlap:
                continue
            catalogue.apply_record(start + index, payload)
        if catalogue.next_offset < page.end:
            return True
        if not self.caught_up:
            _logger.info("Caught up with the log at position {}.", catalogue.position)
        self.caught_up = True
        return False

    def _is_log_rewritten(self, end: int, reread_payloads: list[str]) -> bool:
        if end < self._catalogue.next_offset:
            return True
        if not reread_payloads:
            return False
        return compute_payload_digest(reread_payloads[0]) != self._catalogue.last_digest

    def _handle_log_loss(self) -> None:
        self.log_loss_count += 1
        self._log_lost_records = True
        _logger.warning(
            "Log lost records; reading it from the start, then appending a checkpoint "
            "if it contains none."
        )
        self._catalogue.reset_next_offset()
        self._checkpoint_offset = -1

    async def _start_from_checkpoint(self, first_offset: int) -> bool:
        payloads = []
        offset = first_offset
        try:
            while True:
                page = await self._log.read(CATALOGUE_STREAM, offset)
                payloads.extend(page.records)
                offset += len(page.records)
                if not page.records:
                    break
        except (LogUnavailableError, RecordsTrimmedError):
            await asyncio.sleep(LOG_RETRY_INTERVAL_S)
            return True
        snapshot = find_checkpoint(payloads, first_offset)
        if snapshot is None:
            _logger.warning("Log contains no valid checkpoint; requesting the state from peers.")
            self.caught_up = await self._adopt_peer_state() or self.caught_up
            if self._catalogue.next_offset < first_offset:
                await asyncio.sleep(LOG_RETRY_INTERVAL_S)
            return True
        if not self._catalogue.adopt_snapshot(snapshot):
            # the catalogue is not older than the checkpoint, so only its read position is set to
            # the checkpoint's
            self._catalogue.next_offset = snapshot.next_offset
            self._catalogue.last_digest = snapshot.last_digest
        return True

    def _is_checkpoint_due(self) -> bool:
        catalogue = self._catalogue
        if catalogue.position == 0 or not self.log_available or not self.caught_up:
            return False
        if catalogue.checkpoint_offset != self._checkpoint_offset:
            self._checkpoint_offset = catalogue.checkpoint_offset
            self._checkpoint_changed_at = time.monotonic()
            self._log_lost_records = False
        if self._log_lost_records:
            return True
        if catalogue.next_offset - self._checkpoint_offset > CHECKPOINT_INTERVAL_RECORDS:
            return True
        age_s = time.monotonic() - self._checkpoint_changed_at
        return age_s > self._retention_s * CHECKPOINT_INTERVAL_RETENTION_FRACTION

    async def _append_checkpoint(self) -> None:
        parts = split_snapshot(secrets.token_hex(8), self._catalogue.take_snapshot())
        for part in parts:
            await self._log.append(CATALOGUE_STREAM, encode_record(part))
        _logger.info("Appended a checkpoint of {} parts.", len(parts))
