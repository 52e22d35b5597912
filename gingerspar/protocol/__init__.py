"""What travels: messages, settings and the names they use on the wire."""
