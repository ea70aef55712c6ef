"""Members and upstreams that are silent for a while and then go on.

Guards against running work that is started again elsewhere, or given up, only
because the machine that does it was silent.
"""

import pathlib
import signal
from typing import Any

import attrs
import pytest
from result import Err
from result import Result
import trio

from hawthornmast.common import StepError
from hawthornmast.forwarding import UpstreamClient
from hawthornmast.forwarding.exchange import Exchange
from tests.test_planned_stop import run_daemon
from tests.test_platform_path import run_deployment
from tests.test_platform_path import set_faults

IMPATIENCE_S = 0.2
"""Time after which the member of the control gives up."""


class TestSilentUpstream:
    """A response that is late, but in time, is waited for and delivered."""

    @pytest.mark.parametrize("silent_s", [0.5, 1.8])
    @pytest.mark.parametrize(
        ("target", "host"),
        [("/read/1", "boxes.example"), ("/charge/1", "pay.example")],
    )
    async def test_work_runs_once_and_is_answered(
        self, silent_s: float, target: str, host: str
    ) -> None:
        async with run_deployment(boxes=3, billing=3) as deployment:
            set_faults(deployment, late_s=silent_s)
            response = await deployment.send("POST", target, host=host)
            assert response.status == 200
            assert deployment.count_runs() == 1


class TestSilenceControl:
    """A member that gives up silent work fails the check above."""

    @pytest.mark.parametrize(
        ("target", "host", "runs"),
        [("/read/1", "boxes.example", 2), ("/charge/1", "pay.example", 1)],
    )
    async def test_impatient_member(
        self,
        monkeypatch: pytest.MonkeyPatch,
        target: str,
        host: str,
        runs: int,
    ) -> None:
        send = UpstreamClient.send

        async def send_impatiently(
            *arguments: Any, **options: Any
        ) -> Result[Exchange, StepError]:
            with trio.move_on_after(IMPATIENCE_S):
                return await send(*arguments, **options)
            return Err(StepError(step="read", detail="no patience"))

        monkeypatch.setattr(UpstreamClient, "send", send_impatiently)
        async with run_deployment(boxes=3, billing=3) as deployment:
            set_faults(deployment, late_s=0.5)
            response = await deployment.send("POST", target, host=host)
            assert response.status == 502
            assert deployment.count_runs() == runs


class TestFrozenMember:
    """A member that stands still neither repeats nor loses work."""

    @pytest.mark.parametrize("target", ["/read/", "/charge/"])
    async def test_work_in_flight_is_answered_once(
        self, tmp_path: pathlib.Path, target: str
    ) -> None:
        async with run_daemon(tmp_path, service_s=0.4) as stop:
            async with trio.open_nursery() as nursery:
                for number in range(6):
                    nursery.start_soon(
                        stop.send_until_gone, f"{target}{number}"
                    )
                await trio.sleep(0.6)
                stop.process.send_signal(signal.SIGSTOP)
                await trio.sleep(0.9)
                stop.process.send_signal(signal.SIGCONT)
                await trio.sleep(0.3)
                nursery.cancel_scope.cancel()
        runs = stop.count_runs()
        assert max(runs.values()) == 1
        assert len(stop.attempts) >= 12
        assert {item.status for item in stop.attempts} == {200}

    async def test_nothing_is_sent_after_its_deadline(
        self, tmp_path: pathlib.Path
    ) -> None:
        # The slots are full, so that requests wait as the member freezes.
        async with run_daemon(tmp_path, service_s=1.0, slots=2) as stop:
            async with trio.open_nursery() as nursery:
                for number in range(6):
                    nursery.start_soon(
                        stop.send_until_gone, f"/charge/{number}"
                    )
                await trio.sleep(0.3)
                stop.process.send_signal(signal.SIGSTOP)
                frozen_at = trio.current_time()
                await trio.sleep(2.5)
                stop.backend.faults = attrs.evolve(
                    stop.backend.faults, service_s=0.05
                )
                stop.process.send_signal(signal.SIGCONT)
                woken_at = trio.current_time()
                await trio.sleep(0.5)
                nursery.cancel_scope.cancel()
        # The requests from before the freeze are past their timeout of 2 s.
        before = {
            item.key for item in stop.attempts if item.sent_s < frozen_at
        }
        assert before
        late = [
            execution
            for execution in stop.backend.executions
            if execution.key in before and execution.start > woken_at
        ]
        assert late == []
        assert max(stop.count_runs().values()) == 1
