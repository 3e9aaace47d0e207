"""Shared by the tests of the node: settings as the platform gives them, and frames as clients send them."""

import json

from sprucespool.adapter.translator import deployment
from sprucespool.adapter.wire import Settings
from sprucespool.relay.configuration import flatten
from sprucespool.relay.frames import encode_fields

SETTINGS = {
    "balancers": 1,
    "me": 0,
    "tick": 4,
    "myZone": "east",
    "models": ["std"],
    "zones": ["east"],
    "profiles": [
        {
            "name": "call",
            "slo": 400.0,
            "deadline": 2000.0,
            "credit": 1,
            "lateWorth": 0.3,
            "effect": "idempotent",
            "group": "all",
            "dedupWindow": 0,
            "streamed": False,
        },
        {
            "name": "publish",
            "slo": 400.0,
            "deadline": 2000.0,
            "credit": 2,
            "lateWorth": 0.1,
            "effect": "deduplicated",
            "group": "all",
            "dedupWindow": 5000,
            "streamed": False,
        },
    ],
    "tenants": [{"name": "acme", "portion": 1.0, "quotaRps": 1000}],
    "rules": {
        "answerSlack": 16,
        "stopSendingWithin": 500,
        "coldFrom": 0.3,
        "warmAfter": 10_000,
        "fallMultiple": 4,
        "fall": 1000,
        "askEvery": 0,
    },
    "registryMode": "automatic",
    "countedBy": "request",
    "overShareWorth": 0.2,
    "ceilings": {
        "cancel": True,
        "probes": True,
        "mayDuplicate": False,
        "peers": False,
        "retryAfter": True,
        "maxRetryAfter": 2000,
        "mostTries": 3,
        "connectTimeout": 250,
        "idleClose": 15_000,
        "streamsPerConn": 100,
    },
    "specifics": {
        "idleLife": 10_000,
        "loadControl": True,
        "ifCold": "load",
        "answerWithin": 3000,
        "saysWarm": True,
        "notesPeersInHand": True,
        "ramMbByKind": [16_000],
    },
    "feedback": {"source": "pull", "fields": ["util", "x1"]},
}
DEPLOYMENT = deployment(Settings(flatten(SETTINGS)))
REQUEST = {
    "class": "call",
    "id": "9b1f03aa5c7e2d41",
    "wait": "1500",
    "tenant": "acme",
    "key": "7f3a9c21e0b4d655",
    "attrs": "memory_mb:512;lanes:2;load_ms:300",
}


def settings_of_all_effects():
    """The settings with one more class, `once`, whose requests must never run twice."""
    settings = json.loads(json.dumps(SETTINGS))
    settings["profiles"].append({**settings["profiles"][0], "name": "once", "effect": "at_most_once"})
    return settings


def configuration(**change):
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "seed": "8c1f30d27a5be964",
        "channel": "127.0.0.1:1",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256},
        "known": {"cursor": 0, "cmds": []},
        "settings": SETTINGS,
        **change,
    }


def frame(kind, stream, payload=b""):
    return (5 + len(payload)).to_bytes(4, "big") + bytes((kind,)) + stream.to_bytes(4, "big") + payload


def request_frame(stream, body=b"", **change):
    return frame(16, stream, encode_fields({**REQUEST, **change}) + body)
