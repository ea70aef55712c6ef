"""Development commands: the test suite, the demonstration, the proofs."""
