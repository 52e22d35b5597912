"""Placement of tasks on machines, and preemption to free capacity for them."""
