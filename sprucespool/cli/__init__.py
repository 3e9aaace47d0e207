"""The command line `sprucespool`."""
