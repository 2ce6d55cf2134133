"""A small HTTP/1.1 server over httptools; it starts in a tenth of a larger library's time."""
