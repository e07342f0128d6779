import secrets
import socket
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import trio
from behave import then, when

from kumquatsaddle.configuration.commits import Edit, commit_edit
from kumquatsaddle.lifecycle.node import make_node
from kumquatsaddle.settings.files import load_settings
from kumquatsaddle.storage.interface import ListedInstance
from kumquatsaddle.testing.configuration import RandomFaultPlatform
from kumquatsaddle.testing.runs import in_trio

_HOST_FORMAT = "127.0.37.{}"
# Ends a run that hangs; no step depends on this time.
_HANG_TIMEOUT_SECONDS = 60.0
_SETTINGS_FORMAT = """\
[instance]
id = n{index}
zone = a

[listen]
callers = {host}:{ports[0]}
control = {host}:{ports[1]}
operators = {host}:{ports[2]}

[platform]
kind = memory
poll_interval = 600 s

[secrets]
control_key_files = {key}

[membership]
probe_interval = 0.1 s
seeds = {seeds}

[stop]
notice = 0 s
"""


def find_free_ports(host):
    ports = []
    for _ in range(3):
        with socket.socket() as probe:
            probe.bind((host, 0))
            ports.append(probe.getsockname()[1])
    return ports


class Nodes:
    """Instances in one process that share a platform."""

    def __init__(self, folder, platform, nursery):
        self.platform = platform
        self.nodes = []
        self._folder = Path(folder)
        self._nursery = nursery
        self._seeds = []
        self._applications = []
        self.key = self._folder / "control.key"
        self.key.write_text(secrets.token_hex(16))

    async def start(self):
        index = len(self.nodes)
        host = _HOST_FORMAT.format(index + 1)
        ports = find_free_ports(host)
        file = self._folder / f"{index}.ini"
        seeds = ", ".join(self._seeds)
        file.write_text(
            _SETTINGS_FORMAT.format(
                index=index, host=host, ports=ports, key=self.key, seeds=seeds
            )
        )
        self._seeds.append(f"{host}:{ports[1]}")
        node, application = make_node(load_settings(file), self.platform)
        self.nodes.append(node)
        self._applications.append(application)
        self._nursery.start_soon(application.run)
        await application.started.wait()
        return node

    def stop(self):
        for application in self._applications:
            application.stop()


@asynccontextmanager
async def open_nodes():
    with (
        tempfile.TemporaryDirectory() as folder,
        trio.fail_after(_HANG_TIMEOUT_SECONDS),
    ):
        async with trio.open_nursery() as nursery:
            platform = RandomFaultPlatform(nursery)
            listed = ListedInstance("b", "backend", "s0", "127.0.0.1:9", "a", "default")
            platform.store.instances["b"] = listed
            nodes = Nodes(folder, platform, nursery)
            yield nodes
            nodes.stop()


async def wait_for_version(node, version):
    while node.configuration.version < version:
        await trio.sleep(0.01)


async def commit_services(node, start, count):
    for number in range(start, start + count):
        edit = Edit("service", f"s{number}", {}, None)
        await commit_edit(node.distribution, edit)


@when("one of 2 instances on loopback commits a change and the platform fails")
@in_trio
async def run_nodes(context):
    async with open_nodes() as nodes:
        first, second = [await nodes.start() for _ in range(2)]
        await commit_services(first, 0, 1)
        nodes.platform.down = True
        await wait_for_version(second, 1)
        context.second = second.configuration.version
        third = await nodes.start()
        context.third = third.configuration.version, list(third.backends)
        nodes.platform.down = False
        await commit_services(first, 1, 300)
        nodes.platform.down = True
        fourth = await nodes.start()
        await wait_for_version(fourth, 301)
        context.fourth = (
            fourth.configuration.version,
            len(fourth.configuration.services),
        )


@then("the other one has the change without reading the table")
def check_second(context):
    assert context.second == 1


@then("a third one starts from its peers with configuration and backend servers")
def check_third(context):
    version, backends = context.third
    assert version == 1
    assert [backend.name for backend in backends] == ["b"]


@then("a fourth one that lacks 300 changes gets a snapshot")
def check_fourth(context):
    assert context.fourth == (301, 301)
