"""Client of the platform's list of live and leaving VMs, over HTTP with JSON.

The list lags behind the actual state of the VMs.
"""

from __future__ import annotations

import typing as t

import aiohttp
import msgspec

from ..exceptions import VmListUnavailableError
from ..membership.servers import Server

VM_LIST_CALL_TIMEOUT_S = 3.0


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


class VmListClient:
    """Reads the list of VMs.

    :param session: the HTTP session to use.
    :param url: URL of the list.
    """

    def __init__(self, *, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    async def read(self) -> VmList:
        """Read the current list.

        :raises VmListUnavailableError: if there is no valid response.
        """
        timeout = aiohttp.ClientTimeout(total=VM_LIST_CALL_TIMEOUT_S)
        try:
            async with self._session.get(self._url, timeout=timeout) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise VmListUnavailableError(repr(error)) from error
        if response.status != 200:
            raise VmListUnavailableError(f"HTTP status {response.status}")
        try:
            return msgspec.json.decode(body, type=VmList)
        except msgspec.MsgspecError as error:
            raise VmListUnavailableError(
                f"response of the VM list service cannot be decoded: {error}"
            ) from error
