"""Client of the cloud's machine API, limited to this node's share of the cloud's request rate."""

from collections.abc import Callable
from datetime import timedelta
from urllib.parse import quote

from gingerspar.protocol import messages, names
from gingerspar.protocol.messages import ListedMachine, MachineType
from gingerspar.storage.budgets import Budget, Urgency
from gingerspar.transport.client import Client, NoAnswer, RequestNotSent
from gingerspar.transport.clock import Clock


class CloudError(Exception):
    """The cloud gave no usable answer; a rental may have been carried out nevertheless."""


class NotPermitted(Exception):
    """The request was not sent because its caller is no longer permitted to make it."""


class NoCapacity(Exception):
    """The cloud has no machines of the requested type, zone and purchase kind at present."""


class CloudClient:
    """Sends requests to the cloud. The leader sends nearly all of them.

    Each method waits for this node's request budget, and raises ``CloudError`` when the cloud does not
    answer with success.
    """

    SHARE = 0.7  # of the cloud's request rate; the rest is for other nodes' catalog reads and a previous leader

    def __init__(self, address: str, clock: Clock, rps: float) -> None:
        self._client = Client(address, connect_timeout=timedelta(seconds=3))
        self._budget = Budget(clock, rps * self.SHARE, max(1.0, rps * self.SHARE))

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        urgent: bool = False,
        permit: Callable[[], bool] | None = None,
    ) -> bytes:
        await self._budget.acquire(1, Urgency.USER if urgent else Urgency.BACKGROUND)
        try:
            status, answer = await self._client.request(method, path, body, timeout=timedelta(seconds=8), permit=permit)
        except RequestNotSent as error:
            if permit is not None and not permit():
                raise NotPermitted from error
            raise CloudError(str(error)) from error
        except NoAnswer as error:
            raise CloudError(str(error)) from error
        if status == 200:
            return answer
        if status == 429:
            self._budget.block(timedelta(milliseconds=300))
        if status == 503 and b"no capacity" in answer:
            raise NoCapacity
        raise CloudError(f"{method} {path}: {status} {answer[:200]!r}")

    async def catalog(self) -> list[MachineType]:
        """Reads the machine types that the cloud offers."""
        return messages.decode(messages.Catalog, await self._call("GET", names.PATH_CATALOG)).types

    async def rent(self, request: messages.RentRequest, permit: Callable[[], bool]) -> list[str]:
        """Rents machines; returns their names.

        ``permit`` is called when the request is about to be sent, which may be seconds after this call
        because requests wait for the budget. Raises ``NotPermitted`` if it returns false, and
        ``NoCapacity`` if the cloud has no such machines.
        """
        answer = await self._call("POST", names.PATH_MACHINES, messages.encode(request), urgent=True, permit=permit)
        return messages.decode(messages.MachineNames, answer).machines

    async def return_machines(self, machines: list[str], permit: Callable[[], bool]) -> None:
        """Returns machines to the cloud. ``permit`` is as for ``rent``."""
        body = messages.encode(messages.MachineNames(machines))
        await self._call("POST", names.PATH_RETURN, body, permit=permit)

    async def machines(self) -> list[ListedMachine]:
        """Lists all machines that the cloud has rented to this cluster, page by page."""
        listed: list[ListedMachine] = []
        since = ""
        while True:
            path = f"{names.PATH_MACHINES}?Most=500" + (f"&Since={quote(since)}" if since else "")
            page = messages.decode(messages.MachineList, await self._call("GET", path))
            listed += page.machines
            if not page.more or not page.machines:
                return listed
            since = page.machines[-1].machine
