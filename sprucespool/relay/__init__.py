"""The operators' platform protocol without I/O: clients' frames, invokers' lines, command channel, configuration."""
