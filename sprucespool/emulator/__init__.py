"""Models of outside systems in virtual time, without sockets or clocks. Stand-in processes use the same models."""
