"""One controller on the operators' platform: its sockets, signals and files around the gateway."""
