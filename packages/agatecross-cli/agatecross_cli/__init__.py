"""The operators' client `agatecross`."""
