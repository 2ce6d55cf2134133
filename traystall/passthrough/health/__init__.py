"""What is known of targets and data centres."""
