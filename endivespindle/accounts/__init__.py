"""Tenant keys, client account shares and fair queueing."""
