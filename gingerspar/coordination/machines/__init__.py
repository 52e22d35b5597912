"""Cloud machines: how many to rent or return, calls to the cloud, and the roster of machines that may run tasks."""
