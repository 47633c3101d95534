"""Messages between processes: encoding, framing, connections, clients."""
