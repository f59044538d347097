"""Clocks, identifiers, reason codes and digests shared by all packages."""
