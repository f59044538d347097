"""One entry VM: tasks that connect the decision logic to the adapters."""
