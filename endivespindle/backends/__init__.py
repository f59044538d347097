"""HTTP clients for engines and plain services."""
