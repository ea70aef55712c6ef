"""Adapter to the users' platform.

Everything that is named or shaped as the platform has it is translated here,
once, into the product's own types. The adapter decides nothing.
"""
