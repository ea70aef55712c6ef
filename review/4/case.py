"""The settings of members change shortly after they start."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import harness  # noqa: E402

CHANGES = 3
CHANGE_AFTER_S = 0.12
"""Time from a start to the change of the settings."""
RESTART_S = 0.5
"""Delay after which the platform starts a process that has ended."""
WATCHED_S = 2.0
ENDS = 3
MACHINES = 2


async def watch(case, member):
    """Start a member as the platform does; return its own ends."""
    ends = 0
    for change in range(CHANGES):
        if not member.running:
            await member.start()
        await asyncio.sleep(CHANGE_AFTER_S)
        # Another seed is named; the file is replaced at once.
        member.write_settings(seeds=(1, 2, 3)[: change + 1])
        if case.trouble:
            member.signal(signal.SIGHUP)
        try:
            async with asyncio.timeout(WATCHED_S):
                status = await member.process.wait()
        except TimeoutError:
            case.record.write(f"{member.name} runs on")
            continue
        ends += 1
        case.record.write(
            f"{member.name} ended by itself with status {status}"
        )
        await asyncio.sleep(RESTART_S)
    if not member.running:
        await member.start()
    await member.wait_ready()
    return ends


async def play(case):
    await case.store.start()
    case.store.put("op/config", harness.make_configuration(["boxes"]))
    await case.add_backend("i-1", "boxes")
    for number in range(1, MACHINES + 1):
        case.members.append(
            harness.Member(
                number, case.network, case.store, case.folder, case.record
            )
        )
    ends = await asyncio.gather(*(watch(case, m) for m in case.members))
    case.record.write(f"own ends of each machine: {ends}")
    if sum(count >= ENDS for count in ends) >= 2:
        return (
            f"Fault: the processes of {MACHINES} machines ended by themselves"
            f" {ends} times"
        )
    return None


harness.main(FOLDER, play)
