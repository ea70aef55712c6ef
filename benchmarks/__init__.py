"""Measurements with bounds; see docs/benchmarks.md."""
