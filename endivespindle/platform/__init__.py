"""Translates between the product's types and the users' platform."""
