"""A load balancer for servers whose load shifts in milliseconds, and its parts as a library.

The names below may be used without any of the programs. None of them opens a socket or starts a
task; all take a clock, so that they run under any event loop or none.
"""

from .catalogue.entry import CatalogueEntry as CatalogueEntry
from .catalogue.entry import check_entry as check_entry
from .catalogue.fold import Catalogue as Catalogue
from .catalogue.records import Change as Change
from .catalogue.records import encode_record as encode_record
from .exceptions import JasmineseamError as JasmineseamError
from .exceptions import NotRunError as NotRunError
from .exceptions import UnknownOutcomeError as UnknownOutcomeError
from .measuring.budget import ProbeBudget as ProbeBudget
from .measuring.seat import Seat as Seat
from .membership.servers import Server as Server
from .membership.servers import Servers as Servers
from .membership.vms import EntryVms as EntryVms
from .requests.key import Key as Key
from .requests.key import parse_key as parse_key
from .requests.ledger import Ledger as Ledger
from .routing.backends import Backend as Backend
from .routing.choice import make_choice as make_choice
from .routing.pool import Pool as Pool
from .routing.retries import AttemptBudget as AttemptBudget

__version__ = "0.1.0"
