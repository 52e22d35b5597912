"""Session, term, claims, reconciler, ledger, placement and fleet."""
