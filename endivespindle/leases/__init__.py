"""Leases on shards of work, with epochs that serve as fencing numbers."""
