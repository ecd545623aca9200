"""Components that own sockets."""
