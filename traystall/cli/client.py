"""Network calls of the operators' client: leader discovery, timeouts and error translation."""

import asyncio

import aiohttp

from traystall.core import clock
from traystall.core.exceptions import (
    ClientError,
    RpcError,
    RpcRefused,
    RpcTimeout,
)
from traystall.rpc.client import LinkIdentity, LinkPool
from traystall.rpc.gen.wire import ttypes

ROLE = "operator"
_CALL_TIMEOUT_SECONDS = 4.0
_RETRY_DELAY_SECONDS = 0.2


class Unreachable(ClientError):
    """No control daemon answered."""

    exit_code = 1


class BadUsage(ClientError):
    """The arguments or the bundle are invalid."""

    exit_code = 2


class Conflict(ClientError):
    """The number is already taken by another content."""

    exit_code = 3


class InDoubt(ClientError):
    """The call may have taken effect; it is safe to send it again."""

    exit_code = 4


class Refused(ClientError):
    """The system refused the call."""

    exit_code = 5


class ControlClient:
    """Call the leader of the control group; find it by trying the control daemons in turn."""

    def __init__(self, controls: list[str], cluster: str, secret: str, seconds: float):
        if not controls:
            raise BadUsage("Name the control daemons with --control or TRAYSTALL_CONTROL.")
        self._controls = controls
        self._links = LinkPool(LinkIdentity(cluster, ROLE, "operator", secret))
        self._seconds = seconds

    async def close(self) -> None:
        """Close the links."""
        await self._links.close()

    async def call_leader(self, request, call_seconds: float = _CALL_TIMEOUT_SECONDS):
        """Return the leader's reply; raise the ClientError that matches the last failure."""
        deadline = clock.monotonic() + self._seconds
        address = self._controls[0]
        in_doubt = False
        reason = "no control daemon answered"
        while (left := deadline - clock.monotonic()) > 0:
            try:
                link = self._links.link(address)
                return await link.call(request, min(left, call_seconds))
            except RpcRefused as error:
                if error.code not in ("not-leader", "in-doubt"):
                    raise Refused(str(error)) from error
                in_doubt = in_doubt or error.code == "in-doubt"
                reason = str(error)
                hint = error.detail if error.code == "not-leader" else ""
                address = hint or self._next_address(address)
            except RpcError as error:
                in_doubt = in_doubt or isinstance(error, RpcTimeout)
                reason = str(error)
                address = self._next_address(address)
            await asyncio.sleep(_RETRY_DELAY_SECONDS)
        if in_doubt:
            raise InDoubt(f"The call may have taken effect; send it again. Last: {reason}")
        raise Unreachable(f"No leader within {self._seconds:.0f} s: {reason}")

    async def call_each(self, request) -> dict[str, object]:
        """Return each control daemon's reply, or its error, by address."""
        results = await asyncio.gather(
            *(self._links.link(a).call(request, _CALL_TIMEOUT_SECONDS) for a in self._controls),
            return_exceptions=True,
        )
        return dict(zip(self._controls, results, strict=True))

    async def probe(self, address: str) -> ttypes.ProbeReply:
        """Return the daemon's probe reply; raise Unreachable if it does not answer."""
        try:
            return await self._links.link(address).call(
                ttypes.ProbeRequest(), _CALL_TIMEOUT_SECONDS
            )
        except RpcError as error:
            raise Unreachable(f"{address} does not answer: {error}") from error

    def _next_address(self, address):
        if address not in self._controls:
            return self._controls[0]
        return self._controls[(self._controls.index(address) + 1) % len(self._controls)]


async def post_request(gateway: str, pipeline: str, headers: dict, body: dict, seconds: float):
    """Return the status and document of one request to a gateway."""
    url = f"http://{gateway}/v1/pipelines/{pipeline}/requests"
    timeout = aiohttp.ClientTimeout(total=seconds)
    connector = aiohttp.TCPConnector(force_close=True)
    try:
        async with (
            aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
            session.post(url, json=body, headers=headers) as response,
        ):
            return response.status, await response.json(content_type=None)
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise InDoubt(f"{gateway} gave no whole answer: {type(error).__name__}.") from error


async def get_document(url: str) -> dict | None:
    """Return a JSON document, or None if there is none."""
    timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as response,
        ):
            return await response.json(content_type=None) if response.status == 200 else None
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return None


async def call_page(method: str, url: str, secret: str) -> tuple[int, dict | None]:
    """Return the status and the JSON document of a gateway's page; (0, None) on failure."""
    timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_SECONDS)
    headers = {"Authorization": f"Bearer {secret}"} if secret else {}
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, headers=headers) as response,
        ):
            document = await response.json(content_type=None)
            return response.status, document if isinstance(document, dict) else None
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return 0, None
