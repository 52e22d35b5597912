"""What the leader of the term knows: machines, runs and what each team uses."""
