"""Tasks of the daemon; each owns its sockets and one decision object."""
