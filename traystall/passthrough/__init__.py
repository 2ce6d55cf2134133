"""A gateway that runs the stages of a request and then forwards it unchanged to a target."""
