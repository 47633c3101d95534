"""The region aggregate: sessions, ownership, outages and quarantine."""
