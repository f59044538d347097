"""Weight versions, and planning of their loads and swaps on engines."""
