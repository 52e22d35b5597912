"""Which nodes are alive and which one leads: sessions, the term, workers' reports and their reachability."""
