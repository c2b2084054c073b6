"""The operators' command-line client `agatecross`."""
