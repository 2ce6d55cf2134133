"""An HTTP/1.1 server over httptools that starts in a tenth of a larger library's time."""
