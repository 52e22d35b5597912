"""HTTP server and client, the link between controllers, and the clock."""
