"""HTTP front ends of entries and edges, and the HTTP client they share."""
