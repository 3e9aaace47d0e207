"""KDL documents read into checked trade objects. Text in, objects or one clear `SettingsError` out; no I/O."""

from sprucespool.settings.kdl import Bytes, Duration, SettingsError, read, write

__all__ = ["Bytes", "Duration", "SettingsError", "read", "write"]
