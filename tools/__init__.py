"""Development commands: test suite, demonstration and proofs.

Proofs are long randomised checks of the invariants under injected faults.
"""
