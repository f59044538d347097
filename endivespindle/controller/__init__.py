"""Fleet-wide tasks that only the lease holder performs."""
