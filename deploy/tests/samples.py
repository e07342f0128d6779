"""Examples of a configuration and a server entry as the platform writes them."""

__all__ = ["CONFIGURATION", "ENTRY"]

TRAFFIC_SPLIT = [
    {"Service": "browse", "Weight": 90},
    {"Service": "extra", "Weight": 10},
]
CONFIGURATION = {
    "Version": "0000000c",
    "BaseVersion": "00000005",
    "Resources": [
        {
            "ResourceKind": "Routes",
            "Metadata": {"Name": "r-1"},
            "Spec": {
                "Host": "Shop.example",
                "Prefix": "/a/",
                "Kind": "safe",
                "TimeoutMs": 5000,
                "TargetLatencyMs": 2000,
                "Priority": 1,
                "TrafficSplit": TRAFFIC_SPLIT,
                "MaxAttempts": 2,
            },
        },
        {
            "ResourceKind": "Routes",
            "Metadata": {"Name": "r-2"},
            "Spec": {
                "Host": "shop.example",
                "Prefix": "/b/c/",
                "Kind": "unsafe",
                "TimeoutMs": 6000,
                "TargetLatencyMs": 4000,
                "Priority": 7,
                "Service": "extra",
                "MaxAttempts": 1,
            },
        },
        {
            "ResourceKind": "Services",
            "Metadata": {"Name": "browse"},
            "Spec": {"HealthPath": "/health", "MaxConnections": 330},
        },
        {
            "ResourceKind": "Services",
            "Metadata": {"Name": "extra"},
            "Spec": {"HealthPath": "/health", "MaxConnections": 330},
        },
        {
            "ResourceKind": "Limits",
            "Metadata": {},
            "Spec": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 1000,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        },
    ],
}
ENTRY = {
    "Service": "browse",
    "Address": "10.0.0.9:8080",
    "Zone": "north",
    "Version": "v1",
    "Slots": 6,
    "State": "ready",
    "ColdRemainingMs": 1500,
    "Sequence": 4,
    "born": 1700000000000,
}
