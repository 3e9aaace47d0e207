"""gRPC over HTTP/2 without I/O: bytes in, events and bytes out, for either end of a connection."""

from sprucespool.grpc.client import ClientLink
from sprucespool.grpc.server import ServerLink
from sprucespool.grpc.status import Limits, LinkError, Metadata, Status
from sprucespool.grpc.streams import Ledger

__all__ = ["ClientLink", "Ledger", "Limits", "LinkError", "Metadata", "ServerLink", "Status"]
