"""Batch jobs: submissions, item scheduling, and results."""
