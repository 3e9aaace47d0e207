"""gRPC over HTTP/2 without I/O: bytes in, events and bytes out, for either end of a connection."""

from sprucespool.grpc.link import ClientLink, Ledger, ServerLink
from sprucespool.grpc.status import Limits, LinkError, Metadata, Status

__all__ = ["ClientLink", "Ledger", "Limits", "LinkError", "Metadata", "ServerLink", "Status"]
