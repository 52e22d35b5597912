"""The cloud's interface, within this node's share of its rate."""

from collections.abc import Callable
from datetime import timedelta
from urllib.parse import quote

from gingerspar.protocol import messages, names
from gingerspar.protocol.messages import ListedMachine, MachineType
from gingerspar.storage.budgets import Budget, Urgency
from gingerspar.transport.client import Client, NoAnswer, RequestNotSent
from gingerspar.transport.clock import Clock


class CloudError(Exception):
    """No usable answer; a rental may have been carried out all the same."""


class NotPermitted(Exception):
    """The order was not sent: whoever gave it may not any more."""


class NoCapacity(Exception):
    """None of these machines is to be had now."""


class CloudClient:
    """Calls to the cloud. The dispatcher makes nearly all of them."""

    SHARE = 0.7  # of the cloud's rate; the rest is for other nodes' catalogs and a former leader

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
        return messages.decode(messages.Catalog, await self._call("GET", names.PATH_CATALOG)).types

    async def rent(self, request: messages.RentRequest, permit: Callable[[], bool]) -> list[str]:
        """``permit`` is asked once the request's turn has come, which may be seconds later."""
        answer = await self._call("POST", names.PATH_MACHINES, messages.encode(request), urgent=True, permit=permit)
        return messages.decode(messages.MachineNames, answer).machines

    async def return_machines(self, machines: list[str], permit: Callable[[], bool]) -> None:
        body = messages.encode(messages.MachineNames(machines))
        await self._call("POST", names.PATH_RETURN, body, permit=permit)

    async def machines(self) -> list[ListedMachine]:
        found: list[ListedMachine] = []
        since = ""
        while True:
            path = f"{names.PATH_MACHINES}?Most=500" + (f"&Since={quote(since)}" if since else "")
            page = messages.decode(messages.MachineList, await self._call("GET", path))
            found += page.machines
            if not page.more or not page.machines:
                return found
            since = page.machines[-1].machine
