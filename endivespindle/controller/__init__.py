"""Duties that one VM at a time carries out for the fleet."""
