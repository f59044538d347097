"""Batch jobs: submissions, the order of their items, and their results."""
