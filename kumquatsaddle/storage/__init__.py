"""The platform: a transactional table, an object store and a list of instances.

The interface is `Platform`; its implementations are in the registry `platforms`.
"""

from kumquatsaddle.storage.http import make_http_platform
from kumquatsaddle.storage.interface import (
    InstanceList,
    ListedInstance,
    Platform,
    Row,
    make_platform,
    parse_instances,
    platforms,
)
from kumquatsaddle.storage.memory import MemoryPlatform, make_memory_platform

__all__ = [
    "InstanceList",
    "ListedInstance",
    "MemoryPlatform",
    "Platform",
    "Row",
    "make_http_platform",
    "make_memory_platform",
    "make_platform",
    "parse_instances",
    "platforms",
]
