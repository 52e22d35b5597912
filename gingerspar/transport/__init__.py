"""HTTP server and client, and the link between controllers."""
