"""Services at their entry: queue, retry budget and choice of targets."""
