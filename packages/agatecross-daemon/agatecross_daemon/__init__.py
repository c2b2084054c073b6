"""The daemon `agatecrossd`: tasks that own sockets and state, connected by mailboxes."""
