"""Names of headers, endpoints and store keys of the platform."""

# Header names, in lower case as h11 returns them.
ATTEMPT_ID = b"hawthornmast-attempt-id"
# The value is the sender's remaining timeout in milliseconds, not a time of
# day.
DEADLINE = b"hawthornmast-request-deadline"
SIGNATURE = b"hawthornmast-response-signature"
EXPECTED_INSTANCE = b"hawthornmast-expected-instance"
# Requests per second that the sender takes from all daemons together.
RATE_LIMIT = b"server-limit"
# ``1`` in each response of an upstream that leaves.
LEAVING = b"server-leaving"
# In a 503: seconds for which the sender takes no requests from this daemon.
RETRY_AFTER = b"retry-after"
NOT_EXECUTED = b"hawthornmast-not-executed"
# ``Bearer KEY`` in requests of clients.
AUTHORIZATION = b"authorization"
# Name of the team that holds the client's key, in requests to upstreams.
TEAM = b"hawthornmast-tenant"
# In responses of the store: increases when it returns to an older copy.
STORE_ERA = "store-era"

# Endpoints.
RESOLVE = "/hawthornmast/resolve"
READY = "/hawthornmast/ready"
STORE_ITEM = "/hawthornmast/kv-key"
STORE_RANGE = "/hawthornmast/kv-range"

# Keys of the store.
CONFIGURATION_KEY = "op/config"
UPSTREAMS_PREFIX = "servers/"
