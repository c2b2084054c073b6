"""The model of a call, and the flow of its attempts."""
