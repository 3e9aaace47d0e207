"""Decodes KDL documents into validated settings objects, or raises one `SettingsError`. No I/O."""

from sprucespool.settings.kdl import Bytes, Duration, SettingsError, read, write

__all__ = ["Bytes", "Duration", "SettingsError", "read", "write"]
