"""Clients of the platform: object API, VM list, capacity and usage."""
