"""Rollout service for reinforcement learning with consistent billing."""

__all__ = ["__version__"]

__version__ = "0.1.0"
