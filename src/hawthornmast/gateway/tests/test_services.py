"""Services of the configuration in force."""

import attrs

from hawthornmast.common import State
from hawthornmast.gateway.tests.support import make_configuration
from hawthornmast.gateway.tests.support import make_entry
from hawthornmast.gateway.tests.support import make_services


class TestServiceStates:
    """Upstreams belong to the service that they list."""

    async def test_upstreams_by_service(self) -> None:
        services = make_services(make_entry("u1"), make_entry("u2", "billing"))
        boxes, billing = services.find("boxes"), services.find("billing")
        assert boxes is not None and billing is not None
        assert set(boxes.pool.members) == {"u1"}
        assert set(billing.pool.members) == {"u2"}

    async def test_connections_come_from_the_configuration(self) -> None:
        services = make_services(make_entry("u1"))
        boxes = services.find("boxes")
        assert boxes is not None
        assert boxes.pool.members["u1"].upstream.connections == 77

    async def test_beliefs_survive_a_new_configuration(self) -> None:
        # A change of weights must not make failing upstreams look sound.
        services = make_services(make_entry("u1"))
        before = services.find("boxes")
        services.apply_configuration(make_configuration(2))
        assert services.find("boxes") is before

    async def test_service_that_is_dropped_refuses_what_waits(self) -> None:
        services = make_services(make_entry("u1"))
        dropped = services.find("boxes")
        assert dropped is not None
        configuration = make_configuration(2)
        route = configuration.routes[0]
        services.apply_configuration(
            attrs.evolve(
                configuration, routes=configuration.routes[1:], services=()
            )
        )
        assert services.find("boxes") is None
        admitted = await dropped.dispatcher.admit(
            services.entry(route), deadline=1e9
        )
        assert admitted.is_err()

    async def test_leaving_upstream_is_no_candidate(self) -> None:
        entry = make_entry("u1")
        leaving = attrs.evolve(
            entry, upstream=attrs.evolve(entry.upstream, state=State.LEAVING)
        )
        services = make_services(leaving)
        boxes = services.find("boxes")
        assert boxes is not None
        assert not boxes.pool.has_candidate()
