"""Step submission, sample delivery, version spans and straggler policies."""
