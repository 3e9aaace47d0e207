"""gRPC over HTTP/2 without I/O: bytes in, events and bytes out, for either end of a connection."""

from sprucespool.grpc.client import ClientLink
from sprucespool.grpc.server import ServerLink
from sprucespool.grpc.status import Limits, LinkError, Metadata, Status
from sprucespool.grpc.streams import ReceiveBudget

__all__ = ["ClientLink", "Limits", "LinkError", "Metadata", "ReceiveBudget", "ServerLink", "Status"]
