"""A paced mixed load on a deployment."""

import itertools
import random

import trio

from standins.client import CallRecord
from standins.client import FleetClient
from standins.client import MAX_ATTEMPTS
from tools.deployments import Work
from tools.fleet import Fleet

CLIENTS_PER_ZONE = 4


class Load:
    """Sends requests of a deployment's work at a steady rate.

    Parameters
    ----------
    fleet
        The fleet under load.
    rate
        Requests per second.
    seed
        Seed of the choice of work.
    name
        Start of the request keys, which are unique among the runs of a
        fleet.
    timeout
        Seconds after which clients give up.
    keyed
        Whether clients check that the request's key determined the body.
    single
        Whether half of the clients report a refusal without another attempt.
    """

    def __init__(
        self,
        fleet: Fleet,
        *,
        rate: float,
        seed: int,
        name: str = "",
        timeout: float = 10.0,
        keyed: bool = False,
        single: bool = False,
    ) -> None:
        self._fleet = fleet
        self._rate = rate
        self._name = name or fleet.deployment.name
        self._timeout = timeout
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self.calls: list[CallRecord] = []
        seeds = [(m.instance.host, m.instance.port) for m in fleet.members]
        self._clients = [
            FleetClient(
                seeds,
                zone=zone,
                seed=seed + number,
                check_bodies=keyed,
                max_attempts=1 if single and number % 2 else MAX_ATTEMPTS,
            )
            for number, zone in enumerate(
                fleet.deployment.zones * CLIENTS_PER_ZONE
            )
        ]

    async def run(self, requests: int) -> None:
        """Send requests at the rate and wait for the last one's end."""
        work = self._fleet.deployment.work
        weights = [item.weight for item in work]
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(requests):
                due = started + number / self._rate
                await trio.sleep(max(0.0, due - trio.current_time()))
                kind = self._random.choices(work, weights)[0]
                nursery.start_soon(self._send, kind)

    async def close(self) -> None:
        """Close the clients' connections."""
        for client in self._clients:
            await client.close()

    async def _send(self, kind: Work) -> None:
        number = next(self._numbers)
        client = self._clients[number % len(self._clients)]
        call = await client.send(
            kind.method,
            f"{kind.path}/{number}",
            service=kind.service,
            key=f"{self._name}-{number}",
            idempotent=kind.idempotent,
            body=b"x" * 200 if kind.method in ("POST", "PUT") else b"",
            timeout=self._timeout,
        )
        self.calls.append(call)
