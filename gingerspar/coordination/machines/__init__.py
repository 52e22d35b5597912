"""Machines from the cloud: planning, renting, and the roster of those that may run tasks."""
