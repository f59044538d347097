"""Capacity of backend servers: token demand, planning and orders."""
