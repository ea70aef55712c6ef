"""Benchmarks and their aims; see docs/benchmarks.md.

An aim is a value that a benchmark must hold (docs/design.md, section 1.2), a
target is the fleet size for which a cost is extrapolated (section 1.3), and a
budget is the largest cost allowed at that size (section 1.4).
"""
