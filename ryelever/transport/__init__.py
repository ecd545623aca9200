"""Network transport: the components that own sockets."""
