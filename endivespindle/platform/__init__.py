"""Adapter that translates between this package and the users' platform."""
