"""The program ``jasmineseam-node``: a node with the platform's protocols."""

from __future__ import annotations

import atexit
import pathlib
import sys
import typing as t

from ..exceptions import SettingsError
from ..node.daemon import Node
from ..node.endpoints import EndpointConfig
from ..operations.daemon import EXIT_USAGE
from ..operations.daemon import run_cli
from ..operations.daemon import run_process
from ..operations.logs import set_up_node_logs
from ..operations.node_settings import NodeOptions
from ..operations.node_settings import NodeSettings
from ..operations.node_settings import load_options
from ..operations.output import LineOutput
from .endpoints import LOCATOR_PATH
from .endpoints import READINESS_PATH
from .endpoints import decode_locator_query
from .endpoints import encode_entry_addresses
from .headers import HEADER_CODEC
from .metadata_store import HttpMetadataStore
from .settings import load_settings
from .store_client import StoreClient

ENDPOINT_CONFIG = EndpointConfig(
    readiness_path=READINESS_PATH,
    locator_path=LOCATOR_PATH,
    decode_query=decode_locator_query,
    encode_entries=encode_entry_addresses,
)


def make_node(settings: NodeSettings, options: NodeOptions, output: LineOutput) -> Node:
    """Create a node that uses the platform's protocols."""

    def open_store() -> tuple[HttpMetadataStore, t.Callable[[], t.Awaitable[None]]]:
        client = StoreClient(address=settings.store_address)
        return HttpMetadataStore(client=client), client.close

    return Node(
        settings=settings,
        options=options,
        open_store=open_store,
        header_codec=HEADER_CODEC,
        endpoint_config=ENDPOINT_CONFIG,
        output=output,
        reload_settings=load_settings,
    )


def run_node(*, options_file: pathlib.Path | None = None, check: bool = False) -> None:
    """Run a node; the environment variable JASMINESEAM_NODE_FILE holds the settings file's path.

    :param options_file: the operator's options, JSON with comments.
    :param check: only validate the settings file and the options file; exit with status 0 if both
        are valid.
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
