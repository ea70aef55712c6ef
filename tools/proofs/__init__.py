"""Long-running checks of the seven invariants, run by ``make proofs``."""
