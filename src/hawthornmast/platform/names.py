"""Names on the wire and in the settings file of the platform."""

# Headers, in lower case as h11 yields them.
ATTEMPT_ID = b"hawthornmast-attempt-id"
# Milliseconds that the sender waits, not a time of day.
DEADLINE = b"hawthornmast-request-deadline"
SIGNATURE = b"hawthornmast-response-signature"
EXPECTED_INSTANCE = b"hawthornmast-expected-instance"
NOT_EXECUTED = b"hawthornmast-not-executed"

# Calls.
RESOLVE = "/hawthornmast/resolve"
READY = "/hawthornmast/ready"
STORE_ITEM = "/hawthornmast/kv-key"
STORE_RANGE = "/hawthornmast/kv-range"

# Keys in the store.
CONFIGURATION_KEY = "op/config"
UPSTREAMS_PREFIX = "servers/"
