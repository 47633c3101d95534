"""The region aggregate: sessions, target ownership, outages, quarantine."""
