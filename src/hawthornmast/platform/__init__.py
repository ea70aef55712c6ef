"""Adapter to the users' deployment platform.

The users of hawthornmast run it on this platform, which starts the daemons,
provides their settings files, and has a key-value store, which they only read,
with the upstreams and the configuration. It is not the configuration service
that the ``settings`` package calls the platform.

Converts the names and formats of the platform to the types of the other
packages. This is the only package that knows them, and it makes no decisions
of its own.
"""
