"""Configuration in force, backend servers known, and where work goes."""
