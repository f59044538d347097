"""JSON Schemas of settings, messages and stored objects."""
