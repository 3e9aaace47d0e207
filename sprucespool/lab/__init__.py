"""Experiments on the whole fleet in virtual time: fault search, days, sweeps and reports. Not needed to serve."""
