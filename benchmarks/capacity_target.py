"""Target sizes and budgets of docs/design.md, sections 1.3 and 1.4."""

DAEMONS = 7200
ZONES = 16
SERVICES = 5000
UPSTREAMS = 94_000
ROUTES = 150_000
"""Entries of the catalogue."""

REQUESTS_PER_S = 1_500_000
CHANGES_PER_S = 23_000 / 86_400
RESTARTS_PER_S = 15_000 / 86_400
LIST_CHANGES_PER_S = 2 * RESTARTS_PER_S
"""A restart removes an instance from the list and adds it again."""

BURST_FACTOR = 10
"""Changes and restarts in a peak hour, relative to an ordinary day."""

ZONES_PER_SERVICE = 3
"""Zones in which a service has owners, as listed in its document.

A service whose document lists no zones has owners in all 16.
"""

GROUP_SIZE = ZONES_PER_SERVICE
"""Members of an owner group, one per zone."""

OWNED_SERVICES = SERVICES * ZONES_PER_SERVICE / DAEMONS
"""Services owned by one daemon."""

GROUP_PEERS = OWNED_SERVICES * (GROUP_SIZE - 1)
"""Other members of all owner groups of a daemon, if no two groups overlap."""

UPSTREAMS_PER_SERVICE = round(UPSTREAMS / SERVICES)
ROUTES_PER_SERVICE = round(ROUTES / SERVICES)
REQUESTS_PER_S_PER_OWNER = REQUESTS_PER_S / SERVICES / GROUP_SIZE
"""Requests per second that one owner gets for one service."""

KEYS = 2 * SERVICES + ZONES
READERS = 2 * ZONES
NEIGHBOURS = 21
"""Daemons that a daemon exchanges configuration with.

On the ring of the 450 daemons of its zone they are the ones at distances 1, 4,
16, 64 and 256 after it and at distance 1 before it (6), and one in each of the
15 other zones.
"""

DISTANT_PEERS = 2 * NEIGHBOURS
"""Peer connections of a daemon outside its owner groups.

They go to its neighbours and come from the daemons whose neighbour it is, on
average as many.
"""

CPU_BUDGET_CORES = 0.017
RSS_BUDGET_BYTES = 256e6
SENT_BUDGET_BYTES_PER_S = 5000
PLATFORM_BUDGET_CALLS_PER_S = 200
IN_FORCE_BUDGET_S = 10
FLEET_CHANGES_PER_S = 3
