"""A load balancer for servers whose load changes within milliseconds, and a library of its parts.

The names exported here can be used without any of the programs. None of them opens a socket or
starts a task, and those that depend on time take a clock, so they work with any event loop or
without one.
"""

from .catalogue.entry import CatalogueEntry as CatalogueEntry
from .catalogue.entry import check_entry as check_entry
from .catalogue.records import Change as Change
from .catalogue.records import encode_record as encode_record
from .catalogue.state import Catalogue as Catalogue
from .exceptions import JasmineseamError as JasmineseamError
from .exceptions import NotRunError as NotRunError
from .exceptions import UnknownOutcomeError as UnknownOutcomeError
from .measuring.probe_budget import ProbeBudget as ProbeBudget
from .measuring.seat import SeatLease as SeatLease
from .membership.servers import Server as Server
from .membership.servers import ServerMembership as ServerMembership
from .membership.vms import EntryVmMembership as EntryVmMembership
from .requests.idempotency_key import IdempotencyKey as IdempotencyKey
from .requests.idempotency_key import parse_idempotency_key as parse_idempotency_key
from .requests.ledger import Ledger as Ledger
from .routing.backends import Backend as Backend
from .routing.pool import ServerPool as ServerPool
from .routing.retry_budget import RetryBudget as RetryBudget
from .routing.server_selection import make_server_selector as make_server_selector

__version__ = "0.1.0"
