"""Adapters to the platform: object API, VM list, orders and reports."""
