"""Selection of the gateway that does a task for all gateways."""
