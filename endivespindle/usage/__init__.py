"""Usage ledger, usage windows, usage reports and their verification."""
