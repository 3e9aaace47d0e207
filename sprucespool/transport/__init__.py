"""TCP on `asyncio.BufferedProtocol`: buffers, back-pressure, listening, and pools of connections to invokers.

The names are in the modules: `wire`, `turn`, `plan` and `opener` stand alone, `listener` and `pool` bring gRPC along.
"""
