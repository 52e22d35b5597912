"""Jobs and their records: the front door, claims, sweeps, relayed requests."""
