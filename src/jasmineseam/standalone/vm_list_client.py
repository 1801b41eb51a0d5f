"""Client of the platform's list of live and leaving VMs, over HTTP with JSON.

The list lags behind the actual state of the VMs.
"""

from __future__ import annotations

import typing as t

import aiohttp
import logbook
import msgspec

from ..exceptions import VmListUnavailableError
from ..membership.addresses import MAX_PORT
from ..membership.servers import Server
from ..transport.response_bodies import read_limited_body

VM_LIST_CALL_TIMEOUT_S = 3.0
# far more than a list of tens of thousands of VMs takes
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
_logger = logbook.Logger("vm-list")


class ListedVm(msgspec.Struct, kw_only=True):
    """One VM, as listed by the platform.

    :param role: ``entry`` for an entry VM, ``server`` for a backend server.
    :param address: ``ip:port`` of the server, or of the agent of an entry VM.
    :param service: the service of a backend server, empty for an entry VM.
    """

    vm_id: str
    role: t.Literal["entry", "server"]
    address: str
    failure_domain: str
    state: t.Literal["live", "leaving"] = "live"
    service: str = ""


class VmList(msgspec.Struct, kw_only=True):
    """The complete list of VMs."""

    vms: list[ListedVm]

    def list_servers(self) -> list[Server]:
        """Return the backend servers in the list."""
        servers = []
        for vm in self.vms:
            if vm.role != "server":
                continue
            server = Server(
                server_id=vm.vm_id,
                service=vm.service,
                address=vm.address,
                failure_domain=vm.failure_domain,
                leaving=vm.state == "leaving",
            )
            servers.append(server)
        return servers

    def list_entry_vms(self) -> list[ListedVm]:
        """Return the entry VMs in the list."""
        return [vm for vm in self.vms if vm.role == "entry"]


class _RawVmList(msgspec.Struct):
    vms: list[msgspec.Raw]


class VmListClient:
    """Reads the list of VMs.

    :param session: the HTTP session to use.
    :param url: URL of the list.
    """

    def __init__(self, *, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url
        # invalid entries of the last list, each of which is logged once
        self._invalid: set[bytes] = set()

    async def read(self) -> VmList:
        """Read the current list.

        :raises VmListUnavailableError: if there is no valid response.
        """
        timeout = aiohttp.ClientTimeout(total=VM_LIST_CALL_TIMEOUT_S)
        try:
            async with self._session.get(self._url, timeout=timeout) as response:
                body = await read_limited_body(response, MAX_RESPONSE_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise VmListUnavailableError(repr(error)) from error
        if response.status != 200:
            raise VmListUnavailableError(f"HTTP status {response.status}")
        return self._decode_list(body)

    def _decode_list(self, body: bytes) -> VmList:
        """Decode a response; a VM that can't be decoded is left out.

        :raises VmListUnavailableError: if the response as a whole can't be decoded.
        """
        try:
            raw_list = msgspec.json.decode(body, type=_RawVmList)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise VmListUnavailableError(
                f"response of the VM list service cannot be decoded: {error}"
            ) from error
        vms = []
        invalid = set()
        for raw_vm in raw_list.vms:
            data = bytes(raw_vm)
            try:
                vm = msgspec.json.decode(data, type=ListedVm)
                _check_address(vm.address)
            except (msgspec.MsgspecError, ValueError, RecursionError) as error:
                invalid.add(data)
                if data not in self._invalid:
                    _logger.warning("Leaving out an invalid entry of the VM list: {}", error)
                continue
            vms.append(vm)
        self._invalid = invalid
        return VmList(vms=vms)


def _check_address(address: str) -> None:
    """Raise :exc:`ValueError` if an address has no host or its port is out of range."""
    host, _, port = address.rpartition(":")
    if not host or not host.isprintable() or not (port.isascii() and port.isdigit()):
        raise ValueError(f"{address[:40]!r} is not an address with a port")
    if len(port) > 5 or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"port {port[:40]} is out of range")
