"""The leader of the term: placement decisions, commands to workers, and holding or resigning the term."""
