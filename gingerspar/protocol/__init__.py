"""Messages, settings, and the names that they use on the wire."""
