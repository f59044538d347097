"""Active configuration, known backend servers, and request placement."""
