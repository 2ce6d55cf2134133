"""Whether a request may begin, and what may be sent again."""
