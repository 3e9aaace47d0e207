"""TCP on `asyncio.BufferedProtocol`: buffers, back-pressure, listening, and pools of connections to invokers.

Import the names from the modules: `wire`, `input_batcher`, `plan` and `opener` do not depend on gRPC, `listener` and
`pool` do.
"""
