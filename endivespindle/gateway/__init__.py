"""The HTTP side towards callers, trainers and operators."""
