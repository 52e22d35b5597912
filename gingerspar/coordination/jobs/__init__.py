"""Jobs and their records: the user-facing job API, claims, sweeps of lapsed claims, relayed requests."""
