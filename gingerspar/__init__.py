"""gingerspar: a cluster scheduler."""

__version__ = "0.1.0"
