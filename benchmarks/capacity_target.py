"""Sizes of the target and its budgets, from sections 1.3 and 1.4."""

DAEMONS = 7200
ZONES = 16
SERVICES = 5000
UPSTREAMS = 94_000
ROUTES = 150_000
REQUESTS_PER_S = 1_500_000
CHANGES_PER_S = 23_000 / 86_400
RESTARTS_PER_S = 15_000 / 86_400
LIST_CHANGES_PER_S = 2 * RESTARTS_PER_S
"""A restarted instance leaves the list and returns to it."""

BURST = 10
"""Changes and restarts of a bad hour over those of an ordinary day."""

SERVICE_ZONES = 3
"""Zones in which a service has owners, as its document lists them.

Without the list each service has owners in all 16 zones.
"""

GROUP = SERVICE_ZONES
"""Members of an owner group with one owner in each zone."""

OWNED = SERVICES * SERVICE_ZONES / DAEMONS
"""Services that one daemon owns."""

GROUP_PEERS = OWNED * (GROUP - 1)
"""Other members of all groups of one daemon, if none is in two of them."""

UPSTREAMS_EACH = round(UPSTREAMS / SERVICES)
ROUTES_EACH = round(ROUTES / SERVICES)
REQUESTS_EACH = REQUESTS_PER_S / SERVICES / GROUP
"""Requests per second of one service on one of its owners."""

KEYS = 2 * SERVICES + ZONES
READERS = 2 * ZONES
NEIGHBOURS = 21
"""Ring of 450 with chords at powers of four, and one per other zone."""

DISTANT_PEERS = 2 * NEIGHBOURS
"""Neighbours that a daemon dials and those that dial it."""

CPU_BUDGET = 0.017
RSS_BUDGET = 256e6
BYTES_BUDGET = 5000
PLATFORM_BUDGET = 200
IN_FORCE_BUDGET_S = 10
FLEET_CHANGES_PER_S = 3
