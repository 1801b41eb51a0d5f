"""``jasmineseam-node`` on the users' platform: the adapter and the product put together."""

from __future__ import annotations

import atexit
import pathlib
import sys
import typing as t

from ..exceptions import SettingsError
from ..operations.daemon import EXIT_USAGE
from ..operations.daemon import run_cli
from ..operations.daemon import run_process
from ..operations.logs import set_up_node_logs
from ..operations.node_settings import NodeOptions
from ..operations.node_settings import NodeSettings
from ..operations.node_settings import load_options
from ..operations.output import LineOutput
from ..programs.node import Node
from ..programs.node_endpoints import EndpointConfig
from .endpoints import LOCATOR_PATH
from .endpoints import READINESS_PATH
from .endpoints import encode_entry_addresses
from .endpoints import get_caller_failure_domain
from .headers import PROTOCOL
from .metadata_store import MetadataStore
from .settings import load_settings
from .store_client import StoreClient

INTERFACE = EndpointConfig(
    readiness_path=READINESS_PATH,
    locator_path=LOCATOR_PATH,
    get_caller_failure_domain=get_caller_failure_domain,
    encode_entries=encode_entry_addresses,
)


def make_node(settings: NodeSettings, options: NodeOptions, output: LineOutput) -> Node:
    """Build a node that speaks the platform's protocols."""

    def make_store() -> tuple[MetadataStore, t.Callable[[], t.Awaitable[None]]]:
        client = StoreClient(address=settings.store_address)
        return MetadataStore(client=client), client.close

    return Node(
        settings=settings,
        options=options,
        open_store=make_store,
        protocol=PROTOCOL,
        endpoint_config=INTERFACE,
        output=output,
        reload_settings=load_settings,
    )


def run_node(*, options_file: pathlib.Path | None = None, check: bool = False) -> None:
    """Run a node; its settings file is named by JASMINESEAM_NODE_FILE.

    :param options_file: the operator's own options, JSON with comments.
    :param check: only check both files, and end with 0 if they are right.
    """
    try:
        options = NodeOptions() if options_file is None else load_options(options_file)
        settings = load_settings()
    except SettingsError as error:
        for fault in error.faults:
            print(f"{error.source}: {fault}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    if check:
        return
    output = LineOutput()
    atexit.register(output.flush)
    set_up_node_logs(options.logs, output)
    run_process(
        lambda: make_node(settings, options, output), fatal_invariants=options.fatal_invariants
    )


def main() -> None:
    """Run the program's command line."""
    run_cli(run_node)
