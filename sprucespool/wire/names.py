"""Method paths and the names of parameters and metadata, exactly as sent on the wire."""

INFERENCE = "/inference.GRPCInferenceService/"
MODEL_INFER = INFERENCE + "ModelInfer"
MODEL_STREAM_INFER = INFERENCE + "ModelStreamInfer"
SERVER_LIVE = INFERENCE + "ServerLive"
SERVER_READY = INFERENCE + "ServerReady"
MODEL_READY = INFERENCE + "ModelReady"
SERVER_METADATA = INFERENCE + "ServerMetadata"
MODEL_METADATA = INFERENCE + "ModelMetadata"
REPOSITORY_INDEX = INFERENCE + "RepositoryIndex"
MODEL_LOAD = INFERENCE + "RepositoryModelLoad"
MODEL_UNLOAD = INFERENCE + "RepositoryModelUnload"
ROSTER_WATCH = "/sprucespool.v1.Roster/Watch"
ROSTER_FETCH = "/sprucespool.v1.Roster/Fetch"
LIBRARY_FETCH = "/sprucespool.v1.Library/Fetch"
LEARNING_PAGE = "/sprucespool.v1.Learning/Page"
MEMBERSHIP_SAY = "/sprucespool.v1.Membership/Say"
MEMBERSHIP_VIEW = "/sprucespool.v1.Membership/View"
MEMBERSHIP_FLEET = "/sprucespool.v1.Membership/Fleet"
MEMBERSHIP_ZONES = "/sprucespool.v1.Membership/Zones"
MEMBERSHIP_DRAIN_ZONE = "/sprucespool.v1.Membership/DrainZone"
PEERS_TELL = "/sprucespool.v1.Peers/Tell"

# Request parameters; each may also be sent as metadata, with dashes instead of underscores and the prefix below.
MODEL_GROUP, TENANT, COST, MEMORY, LANES, LOAD_TIME, WRITE = (
    "model_group",
    "tenant",
    "cost_ms",
    "memory_mb",
    "lanes",
    "load_ms",
    "write",
)
PREFIX = "spruce-"
COPIES = "copies"

# Trailing metadata of an invoker, all optional: identity of its process, how long that has been running, whether it is
# draining.
BOOT, AGE, DRAINING = "spruce-boot", "spruce-age-ms", "spruce-draining"
FOUND, SAME_MODEL, LOAD_FAILED, REPORT, STANDING = (
    "spruce-found",
    "spruce-same-model",
    "spruce-load-failed",
    "spruce-report",
    "spruce-standing",
)

PUSHBACK = "grpc-retry-pushback-ms"
PREVIOUS_ATTEMPTS = "grpc-previous-rpc-attempts"
CONTROLLER = "spruce-controller"
