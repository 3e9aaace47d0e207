"""gRPC over HTTP/2 without I/O, for clients and servers: takes received bytes, gives events and bytes to send."""

from sprucespool.grpc.client import ClientLink
from sprucespool.grpc.server import ServerLink
from sprucespool.grpc.status import Limits, LinkError, Metadata, Status
from sprucespool.grpc.streams import ReceiveBudget

__all__ = ["ClientLink", "Limits", "LinkError", "Metadata", "ReceiveBudget", "ServerLink", "Status"]
