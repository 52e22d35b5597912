"""Stand-ins of the outside systems, over real HTTP on loopback.

They speak the protocol as far as the service uses it. ``python -m tests.standins``
runs a small cluster of them with controllers, for trying things by hand.
"""
