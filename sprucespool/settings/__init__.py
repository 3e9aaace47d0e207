"""KDL documents read into checked trade objects. Text in, objects or one clear `Refused` out; no I/O."""

from sprucespool.settings.kdl import Bytes, Duration, Refused, read, write

__all__ = ["Bytes", "Duration", "Refused", "read", "write"]
