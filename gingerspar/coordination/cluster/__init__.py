"""The cluster state that the leader of a term keeps: machines, job runs and the resources that each team uses."""
