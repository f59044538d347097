"""The asset register: checking, differences and the active revision."""
