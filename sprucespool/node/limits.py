"""What the controller may keep and hold open, by the limits on its memory and its descriptors."""

from __future__ import annotations

from dataclasses import replace

from sprucespool import interface as it
from sprucespool.relay.configuration import Configuration
from sprucespool.transport.descriptor_budget import max_connected_invokers

# Shares of the memory: open inferences, what all connections to invokers buffer, the ids of requests that must not run
# again, what is known of models, and the orders of invokers.
OPEN_INFERENCES_SHARE, INVOKER_BUFFERS_SHARE, RECENT_REQUESTS_SHARE = 0.18, 0.1, 0.02
MODELS_SHARE, ORDERS_SHARE = 0.1, 0.06
# What a model takes, and an invoker's place in one of the orders.
MODEL_BYTES, ORDER_PLACE_BYTES = 2560, 24


def share_of_memory(config: Configuration, share: float) -> int:
    """The share of the memory limit, in bytes."""
    return int(share * config.memory_mb * 2**20)


def limited_deployment(config: Configuration) -> it.Deployment:
    """The deployment with what its decisions may keep, and to how many invokers they may hold connections."""
    max_models = max(1, share_of_memory(config, MODELS_SHARE) // MODEL_BYTES)
    return replace(
        config.deployment,
        max_models=min(it.DEFAULT_MAX_MODELS, max_models),
        max_order_places=share_of_memory(config, ORDERS_SHARE) // ORDER_PLACE_BYTES,
        max_connected_workers=max_connected_invokers(config.sockets),
    )
