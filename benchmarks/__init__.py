"""Benchmarks and their aims; see docs/benchmarks.md."""
