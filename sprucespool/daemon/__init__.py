"""The daemon: reads settings, opens sockets, connects the parts and shuts down gracefully."""
