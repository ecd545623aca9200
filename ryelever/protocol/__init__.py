"""Message shapes and codecs: no sockets."""
