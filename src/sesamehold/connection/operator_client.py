"""HTTP client of the operator API."""

from __future__ import annotations

import json
from typing import Any

import aiohttp
import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.connection import answer_protocol
from sesamehold.process import cli_fleet

TIMEOUT_S = 10.0
# A complete state dump of a host is smaller than this.
MAX_RESPONSE_BYTES = 64 * 1_048_576


@attrs.define(eq=False)
class OperatorClient:
    """Calls the operator API of hosts; implements `cli_fleet.OperatorCaller`."""

    _session: aiohttp.ClientSession

    @classmethod
    def from_credential(cls, credential: str) -> OperatorClient:
        """Creates a client; must be called with a running event loop."""
        return cls(
            aiohttp.ClientSession(
                connector=answer_protocol.AnswerConnector(),
                headers={"Authorization": f"Bearer {credential}"},
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            )
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def get(self, address: str, path: str) -> Result[Any, cli_fleet.HostFault]:
        """Reads a JSON document from a host."""
        return await self._call("GET", address, path)

    async def post(self, address: str, path: str) -> Result[Any, cli_fleet.HostFault]:
        """Sends a command and returns the JSON response."""
        return await self._call("POST", address, path)

    async def _call(self, method: str, address: str, path: str) -> Result[Any, cli_fleet.HostFault]:
        try:
            async with self._session.request(method, f"http://{address}{path}") as response:
                body = await response.content.read(MAX_RESPONSE_BYTES)
                while chunk := await response.content.read(MAX_RESPONSE_BYTES):
                    body += chunk
                    if len(body) > MAX_RESPONSE_BYTES:
                        raise ValueError("response too large")
                status = response.status
            document = json.loads(body)
        except (aiohttp.ClientError, ConnectionError, TimeoutError) as error:
            reason = f"unreachable ({type(error).__name__})"
            return Error(cli_fleet.HostFault(address, reason, reachable=False))
        except (ValueError, RecursionError):
            reason = "sent an invalid or oversized JSON response"
            return Error(cli_fleet.HostFault(address, reason, reachable=True))
        if status >= 400:
            detail = document.get("detail") if isinstance(document, dict) else None
            return Error(cli_fleet.HostFault(address, str(detail or status), reachable=True))
        return Ok(document)
