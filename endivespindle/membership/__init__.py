"""Membership of the fleet, as seen by one VM."""
