"""Experiments on the whole fleet in virtual time: fault search and its reports. Not needed to serve."""
