"""Reads the pages: fenced blocks, links, and the paths and modules they name."""

import re
from dataclasses import dataclass
from pathlib import Path

__all__ = ["MISSING", "NOT_RUN", "ROOT", "Block", "Command", "find_links"]
__all__ += ["find_modules", "find_paths", "list_anchors", "list_pages"]
__all__ += ["read_blocks", "read_commands"]

ROOT = Path(__file__).resolve().parents[2]
# Commands that the pages show and the tests do not run, with the reason.
NOT_RUN = {
    "make demo": "reinstalls the shared environment and takes longer than a test",
    "make test": "runs these tests; it would not end",
    "make lint": "reinstalls the shared environment",
    "make format": "rewrites files of the repository",
    "python -m tools.run_tests docs/tests": "runs these tests",
}
# What pages name although it does not exist, with the reason.
MISSING = {}

_FENCE = re.compile(
    r"(?:^<!-- file: (?P<file>\S+) -->\n)?"
    r"^```(?P<language>\w*)\n(?P<text>.*?)^```$",
    re.MULTILINE | re.DOTALL,
)
_LINK = re.compile(r"\]\(([^)\s]+)\)")
_PATH = re.compile(
    r"(?<![\w./-])((?:kumquatsaddle|docs|demo|standins|benchmarks|tests|tools)"
    r"/[\w./*-]*[\w*])"
)
_MODULE = re.compile(
    r"(?<![\w./-])((?:kumquatsaddle|benchmarks|demo|standins|tools)(?:\.\w+)+)"
)
_SUFFIXES = (".md", ".py", ".ini", ".feature", ".capnp", ".json")


@dataclass(frozen=True)
class Block:
    """A fenced block: its language, its text, and the file it is saved as."""

    language: str
    text: str
    file: str = ""


@dataclass(frozen=True)
class Command:
    """A shell command and the output that the page shows for it."""

    text: str
    output: str = ""


def list_pages():
    """Return all pages of the repository."""
    return sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])


def read_blocks(page):
    """Return the fenced blocks of a page."""
    return [
        Block(match["language"], match["text"], match["file"] or "")
        for match in _FENCE.finditer(page.read_text())
    ]


def read_commands(block):
    """Return the commands of a `console` block; ``> `` continues a command."""
    commands = []
    for line in block.text.splitlines():
        if line.startswith("$ "):
            commands.append([line[2:], ""])
        elif line.startswith("> ") and commands and not commands[-1][1]:
            commands[-1][0] += "\n" + line[2:]
        elif commands:
            commands[-1][1] += line + "\n"
        else:
            raise ValueError(f"output before the first command: {line!r}")
    return [Command(*command) for command in commands]


def find_links(page):
    """Return the targets of the links of a page that are not URLs."""
    targets = _LINK.findall(_FENCE.sub("", page.read_text()))
    return [target for target in targets if "://" not in target]


def list_anchors(page):
    """Return the anchors of the headings of a page."""
    headings = re.findall(r"^#+ (.*)$", page.read_text(), re.MULTILINE)
    plain = [re.sub(r"[^\w\- ]", "", heading.lower()) for heading in headings]
    return {heading.replace(" ", "-") for heading in plain}


def find_paths(page):
    """Return the paths of files and folders that a page names."""
    return sorted(set(_PATH.findall(page.read_text())))


def find_modules(page):
    """Return the dotted names of modules and their members that a page names."""
    names = set(_MODULE.findall(page.read_text()))
    return sorted(name for name in names if not name.endswith(_SUFFIXES))
