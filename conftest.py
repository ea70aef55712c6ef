"""Settings of all tests."""

import hypothesis

# The same examples in every run, so that the verdict never changes with the
# seed; long runs with other seeds belong to `make proofs`.
hypothesis.settings.register_profile(
    "repeatable", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("repeatable")
