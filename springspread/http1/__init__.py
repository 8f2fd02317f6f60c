"""HTTP/1.1 without I/O: parsers and connection state machines that are fed bytes."""
