"""Where tasks go, and what is stopped to make room."""
