"""The daemon `agatecrossd`: tasks that own sockets and state, joined by mailboxes."""
