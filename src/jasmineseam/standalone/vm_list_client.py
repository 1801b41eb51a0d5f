"""The platform's list of live and leaving VMs, as HTTP and JSON; it lags behind reality."""

from __future__ import annotations

import typing as t

import aiohttp
import msgspec

from ..exceptions import VmListUnavailableError
from ..membership.servers import Server

CALL_TIMEOUT_S = 3.0


class ListedVm(msgspec.Struct, kw_only=True):
    """One VM as the platform lists it.

    :param role: ``entry`` for the system's own VMs, ``server`` for backend servers.
    :param address: ``ip:port``; an entry VM's is its agent's.
    :param service: the service that a server belongs to.
    """

    vm_id: str
    role: t.Literal["entry", "server"]
    address: str
    failure_domain: str
    state: t.Literal["live", "leaving"] = "live"
    service: str = ""


class VmList(msgspec.Struct, kw_only=True):
    """The whole list."""

    vms: list[ListedVm]

    def list_servers(self) -> list[Server]:
        """Return the backend servers in it."""
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
        """Return the system's own VMs in it."""
        return [vm for vm in self.vms if vm.role == "entry"]


class VmListClient:
    """Reads the list.

    :param session: the HTTP session to use.
    :param url: where the list answers.
    """

    def __init__(self, *, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    async def read(self) -> VmList:
        """Read the list as it is now.

        :raises VmListUnavailableError: if there is no usable answer.
        """
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.get(self._url, timeout=timeout) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise VmListUnavailableError(repr(error)) from error
        if response.status != 200:
            raise VmListUnavailableError(f"status {response.status}")
        try:
            return msgspec.json.decode(body, type=VmList)
        except msgspec.MsgspecError as error:
            raise VmListUnavailableError(f"answer can't be decoded: {error}") from error
