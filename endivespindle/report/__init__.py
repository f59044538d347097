"""Reports and plots of recorded bench runs and soak runs."""
