"""Who is there and who commands: sessions, the term, workers' visits."""
