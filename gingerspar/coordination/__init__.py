"""Coordination between the controllers: membership and leader election, cluster state, placement, jobs and machines."""
