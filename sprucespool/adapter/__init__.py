"""Translates between the bench's wire protocol and `sprucespool.interface`. Makes no decisions."""
