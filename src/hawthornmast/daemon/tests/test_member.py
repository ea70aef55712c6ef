"""Tests of a single daemon."""

import types

import prometheus_client
import pytest
import trio

from hawthornmast import administration
from hawthornmast import catalogue
from hawthornmast import settings
from hawthornmast.daemon.member import Daemon
from hawthornmast.daemon.reports import EjectionMetrics


async def _find_free_ports(count):
    listeners = [
        (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        for _ in range(count)
    ]
    ports = [item.socket.getsockname()[1] for item in listeners]
    for item in listeners:
        await item.aclose()
    return ports


def _build_daemon(ports):
    port, peer_port, admin_port, platform_port = ports
    text = f"""\
[instance]
id = "a1"
zone = "z"
host = "127.0.0.1"
port = {port}
peer_port = {peer_port}
admin_port = {admin_port}
[platform]
host = "127.0.0.1"
port = {platform_port}
[peers]
secrets = ["a-secret-of-tests-only"]
"""
    return Daemon(settings.parse_settings(text, source="t").unwrap())


class TestDaemon:
    async def test_stops_while_waiting_for_its_configuration(self):
        # Guards against a daemon that ignores SIGTERM until the platform is
        # available, because it waits for a client server that wasn't started.
        daemon = _build_daemon(await _find_free_ports(4))
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(daemon.start, nursery)
                await trio.sleep(0.3)
                await daemon.drain()
                await daemon.close()
                nursery.cancel_scope.cancel()

    @pytest.mark.parametrize(
        ("index", "key"),
        [(2, "instance.admin_port"), (1, "instance.peer_port")],
    )
    async def test_error_for_a_port_in_use_contains_the_setting(
        self, index, key
    ):
        # Guards against an error "Address already in use" that doesn't say
        # which port it is.
        ports = await _find_free_ports(4)
        taken = await trio.open_tcp_listeners(ports[index], host="127.0.0.1")
        daemon = _build_daemon(ports)
        with trio.fail_after(5):
            with pytest.raises(ExceptionGroup) as caught:
                async with trio.open_nursery() as nursery:
                    await daemon.start(nursery)
        await taken[0].aclose()
        assert f"{key} {ports[index]}: " in str(caught.value.exceptions[0])


class TestEjectionMetrics:
    def test_counts_each_ejection_once(self):
        # Guards against ejection metrics that remain at 0.
        metrics = administration.Metrics()
        ejected = []
        runtime = types.SimpleNamespace(
            service=catalogue.Service(name="s", owner="t", entries=()),
            monitor=types.SimpleNamespace(list_ejected=lambda: ejected),
        )
        ejection_metrics = EjectionMetrics(metrics)
        for current in (["u1"], ["u1"], ["u1", "u2"], [], ["u1"]):
            ejected[:] = current
            ejection_metrics.update([runtime])
        text = prometheus_client.generate_latest(metrics.registry).decode()
        assert 'hawthornmast_ejections_total{service="s"} 3.0' in text
        assert 'hawthornmast_ejected_upstreams{service="s"} 1.0' in text
