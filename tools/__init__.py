"""Development commands: test suite, demonstration and proofs."""
