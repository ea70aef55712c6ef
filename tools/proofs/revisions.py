"""Publishes catalogue revisions and reads those in force on daemons."""

import itertools

from result import Err
import trio

from hawthornmast.catalogue import parse_service
from tools.fleet import Fleet
from tools.fleet import Member

POLL_S = 0.02
_numbers = itertools.count(1)


def find_entry(fleet: Fleet, service: str) -> str:
    """Return the name of one entry of a service."""
    parsed = parse_service(fleet.read_document(service), source=service)
    return parsed.unwrap().entries[0].name


async def read_revision(fleet: Fleet, member: Member, service: str) -> int:
    """Return the revision in force on a daemon, or 0 without a response."""
    entry = find_entry(fleet, service)
    result = await fleet.query_admin(
        member, f"/v1/explain/entries/{service}/{entry}"
    )
    if isinstance(result, Err):
        return 0
    explanation = result.ok_value.get("entry")
    return int(explanation["revision"]) if explanation else 0


async def publish_valid(fleet: Fleet, service: str) -> int:
    """Publish a new valid document and return its revision."""
    return await fleet.publish_document(
        service, f"\n# change {next(_numbers)}\n"
    )


async def publish_invalid(fleet: Fleet, service: str) -> int:
    """Publish a document that must be rejected; return its revision."""
    return await fleet.publish_document(
        service, f"\nunknown_key = {next(_numbers)}\n"
    )


async def wait_in_force(
    fleet: Fleet,
    service: str,
    revision: int,
    *,
    members: list[Member] | None = None,
    limit_s: float = 20.0,
) -> float | None:
    """Return seconds until a revision is in force on all members.

    None if that takes longer than ``limit_s``.
    """
    started = trio.current_time()
    waiting = list(fleet.members if members is None else members)

    async def wait_one(member: Member) -> None:
        while await read_revision(fleet, member, service) < revision:
            await trio.sleep(POLL_S)
        waiting.remove(member)

    with trio.move_on_after(limit_s):
        async with trio.open_nursery() as nursery:
            for member in list(waiting):
                nursery.start_soon(wait_one, member)
    if waiting:
        return None
    return trio.current_time() - started
