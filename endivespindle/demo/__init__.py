"""A whole deployment in one process, checked from the outside."""
