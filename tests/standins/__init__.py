"""Stand-ins for the external systems (state service, cloud, workers, users), over real HTTP on loopback.

They implement the part of the protocol that the controllers use. ``python -m tests.standins`` runs
three controllers with them, for manual tests.
"""
