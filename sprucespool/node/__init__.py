"""One controller on the operators' platform: the sockets, signals and files around the gateway."""
