"""The messages on the wire: the Open Inference Protocol and this project's own `sprucespool.v1`.

`*_pb2` files are generated from `proto/` by `make proto`. A controller only reads those fields of an inference request
that `peek` decodes; tensors stay bytes.
"""
