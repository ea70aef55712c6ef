"""A late write of a heartbeat brings a draining back end back into use.

Eight times, four of twelve back ends are replaced: new ones start first, the
old ones drain. Before that, the store leaves one heartbeat of each old one
without an answer and carries it out 5.95 s later. Meanwhile the store has been
calm for 3 s, the back end has reported that it drains, and the store has
acknowledged that. The late write has the same start time and a lower
``Sequence`` than the entry that it replaces until the next heartbeat. The load
is low, so that few clients hear from a draining back end that it leaves.
"""

import asyncio
from collections import Counter
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import rig as r  # noqa: E402

DRAIN_S = 2.0
LATE_S = 5.95
# Heartbeats after the lost one, about 1.5 s apart, the report and the exit.
READY_BEATS_S = (1.45, 2.9)
DRAINING_AT_S = 3.1
DRAINING_BEATS_S = (4.4, 5.85, 7.35)
EXIT_AT_S = 8.5

BACKENDS = 12
LEAVING_AT_ONCE = 4
GROUPS = 8
FIRST_AT_S = 6
GROUP_S = 10
REQUESTS_PER_S = 6


async def play(make, trouble):
    rig = make(members=3)

    def add_backend():
        number = len(rig.backends)
        backend = r.Backend(
            rig,
            f"i-{number:08x}",
            "subscriptions",
            zone=r.ZONES[number % 3],
            slots=4,
            plan=lambda key, target: (0.15, "ok"),
        )
        rig.backends.append(backend)
        return backend

    for _ in range(BACKENDS):
        add_backend()
    await rig.start(
        r.make_configuration(
            7,
            [
                {
                    "Service": "subscriptions",
                    "RouteType": "non_idempotent",
                    "Timeout": "4000ms",
                }
            ],
            ["subscriptions"],
        )
    )
    drained = {}

    async def wait_until(moment):
        await asyncio.sleep(max(0.0, moment - rig.record.now()))

    def beat(backend, what=""):
        backend.beat()
        rig.record.write(
            f"store acknowledges {backend.name} {backend.state}"
            f" Sequence={backend.sequence}{what}"
        )

    def carry_out(backend, entry):
        backend.put_entry(entry)
        rig.record.write(
            f"store carries out the late write: {backend.name}"
            f" {entry['State']} Sequence={entry['Sequence']}"
        )

    async def leave(number, start):
        await wait_until(start)
        backend = rig.backends[number]
        await add_backend().start()
        backend.beating.cancel()
        if trouble:
            entry = backend.entry()
            rig.record.write(
                f"store leaves a write without an answer: {backend.name}"
                f" {entry['State']} Sequence={entry['Sequence']}"
            )
            asyncio.get_running_loop().call_later(
                LATE_S, carry_out, backend, entry
            )
        else:
            beat(backend)
        for beat_s in READY_BEATS_S:
            await wait_until(start + beat_s)
            beat(backend)
        await wait_until(start + DRAINING_AT_S)
        backend.state = "draining"
        backend.extra = [("Server-Leaving", "1")]
        beat(backend, " (report that it drains)")
        drained[backend.name] = rig.record.now()
        for beat_s in DRAINING_BEATS_S:
            await wait_until(start + beat_s)
            beat(backend)
        await wait_until(start + EXIT_AT_S)
        rig.store.delete(f"servers/{backend.name}")
        backend.stop()

    start_s = rig.record.now() + FIRST_AT_S
    tasks = [
        asyncio.create_task(
            leave(
                group * LEAVING_AT_ONCE + number,
                start_s + group * GROUP_S,
            )
        )
        for group in range(GROUPS)
        for number in range(LEAVING_AT_ONCE)
    ]
    await rig.load(
        start_s + GROUPS * GROUP_S,
        REQUESTS_PER_S,
        lambda number: (("POST", "/p0/pause", 4000), {"body": b"x" * 50}),
    )
    await asyncio.gather(*tasks)
    late = [
        (backend.name, at - drained[backend.name], key)
        for backend in rig.backends
        if backend.name in drained
        for at, key in backend.arrivals
        if at > drained[backend.name] + DRAIN_S
        and rig.sent[key] > drained[backend.name] + DRAIN_S
    ]
    for name, after_s, key in late:
        rig.record.write(
            f"DRAIN: {key} reaches {name} {after_s:.2f} s after the"
            " acknowledgement"
        )
    return bool(late), (
        f"sent {len(rig.sent)}, answers {dict(Counter(rig.answers.values()))},"
        f" later than Drain at a draining back end: {len(late)}"
    )


if __name__ == "__main__":
    r.main(FOLDER, play)
