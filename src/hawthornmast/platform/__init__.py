"""Adapter to the users' platform.

Converts the names and formats of the platform to the types of the other
packages. This is the only package that knows them, and it makes no decisions
of its own.
"""
