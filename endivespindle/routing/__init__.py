"""Choice of a backend server, retries and idempotency keys."""
