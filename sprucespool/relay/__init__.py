"""The protocol of the operators' platform without I/O.

It consists of the frames of clients, the lines of invokers, the command channel and the configuration file.
"""
