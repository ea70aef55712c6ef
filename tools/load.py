"""Open-loop load generator for a deployment."""

import itertools
import random

import trio

from standins.client import CallRecord
from standins.client import FleetClient
from standins.client import MAX_ATTEMPTS
from tools.deployments import RequestType
from tools.fleet import Fleet

CLIENTS_PER_ZONE = 4


class LoadGenerator:
    """Sends a deployment's mix of request types at a constant rate.

    Parameters
    ----------
    fleet
        The fleet under load.
    rate
        Requests per second.
    seed
        Seed of the random choices.
    name
        Prefix of the request keys; must be unique among the runs on a
        fleet.
    timeout
        Client timeout in seconds.
    check_bodies
        Whether clients verify that a response body is the one derived from
        the request's key.
    single_attempt
        Whether half of the clients make a single attempt, so that refusals are
        recorded, while the other half still exercises retries.
    """

    def __init__(
        self,
        fleet: Fleet,
        *,
        rate: float,
        seed: int,
        name: str = "",
        timeout: float = 10.0,
        check_bodies: bool = False,
        single_attempt: bool = False,
    ) -> None:
        self._fleet = fleet
        self._rate = rate
        self._name = name or fleet.deployment.name
        self._timeout = timeout
        self._random = random.Random(seed)
        self._request_numbers = itertools.count()
        self.calls: list[CallRecord] = []
        seeds = [(m.instance.host, m.instance.port) for m in fleet.members]
        self._clients = [
            FleetClient(
                seeds,
                zone=zone,
                seed=seed + number,
                check_bodies=check_bodies,
                max_attempts=1
                if single_attempt and number % 2
                else MAX_ATTEMPTS,
            )
            for number, zone in enumerate(
                fleet.deployment.zones * CLIENTS_PER_ZONE
            )
        ]

    async def run(self, requests: int) -> None:
        """Send this many requests and wait until all have ended."""
        request_types = self._fleet.deployment.request_types
        weights = [item.weight for item in request_types]
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(requests):
                due_at = started + number / self._rate
                await trio.sleep(max(0.0, due_at - trio.current_time()))
                request_type = self._random.choices(request_types, weights)[0]
                nursery.start_soon(self._send, request_type)

    async def close(self) -> None:
        """Close the clients' connections."""
        for client in self._clients:
            await client.close()

    async def _send(self, request_type: RequestType) -> None:
        number = next(self._request_numbers)
        client = self._clients[number % len(self._clients)]
        call = await client.send(
            request_type.method,
            f"{request_type.path}/{number}",
            service=request_type.service,
            key=f"{self._name}-{number}",
            idempotent=request_type.idempotent,
            body=b"x" * 200 if request_type.method in ("POST", "PUT") else b"",
            timeout=self._timeout,
        )
        self.calls.append(call)
