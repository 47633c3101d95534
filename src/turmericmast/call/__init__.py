"""A call: the request of a caller and the attempts made for it."""
