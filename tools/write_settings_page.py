"""Writes docs/operators/settings.md from the declarations of the settings.

Usage:
  tools.write_settings_page [--check]

Options:
  --check  Write nothing; fail if the page is not current.
"""

import sys
from pathlib import Path

from docopt import docopt

from kumquatsaddle.settings.fields import known_fields

__all__ = ["PAGE", "main", "render_page"]

PAGE = Path(__file__).resolve().parent.parent / "docs" / "operators" / "settings.md"

_PAGE_HEAD = """\
# Settings

This page is for operators. `tools/write_settings_page.py` writes it from the
declarations in `kumquatsaddle/settings/fields.py`; change it there.

A settings file is an INI file. An unknown section or key, a value of another type or
one out of range stops the start with exit code 2 and a message that names the file,
section and key. On SIGHUP an instance reads its file again: keys marked *live* change
at once, and if any other key has changed, nothing is applied and the log says so
(`event=reload_refused`). The certificate files are read again as well.

Numbers may carry their unit (`poll_interval = 10 s`); those in seconds may be given in
milliseconds instead (`revoke_after = 5000 ms`). Lists are separated by commas or
white space.
"""

_MEMORY_PLATFORM_SECTION = """
## Seeds of the embedded platform

With `[platform] kind = memory` the sections `[service:NAME]`, `[template:NAME]`,
`[account:NAME]` and `[backend:NAME]` describe the configuration and the backend
servers.
"""


def render_page():
    """Return the Markdown text of the page."""
    parts, section = [_PAGE_HEAD], None
    for field in sorted(known_fields(), key=_make_section_key()):
        if field.section != section:
            section = field.section
            parts.append(f"\n## [{section}]\n")
            parts.append("| key | type | unit | range | default | live | meaning |")
            parts.append("|---|---|---|---|---|---|---|")
        parts.append(_render_row(field))
    return "\n".join(parts) + "\n" + _MEMORY_PLATFORM_SECTION


def _make_section_key():
    """Return a sort key that orders fields by the first mention of their section."""
    order = {}
    for field in known_fields():
        order.setdefault(field.section, len(order))
    return lambda field: order[field.section]


def _render_row(field):
    allowed_values = ""
    if field.low is not None:
        allowed_values = f"{field.low:.10g} to {field.high:.10g}"
    elif field.choices:
        allowed_values = ", ".join(field.choices)
    cells = [
        f"`{field.key}`",
        field.kind,
        field.unit,
        allowed_values,
        _render_default(field),
        "live" if field.live else "",
        field.doc,
    ]
    return "| " + " | ".join(cells) + " |"


def _render_default(field):
    if field.required:
        return "required"
    if field.default in ("", ()):
        return "none"
    if isinstance(field.default, bool):
        return str(field.default).lower()
    return f"{field.default:.10g}" if field.unit else str(field.default)


def main(arguments=None):
    """Write or check the page; return the exit code."""
    options = docopt(__doc__, argv=arguments)
    text = render_page()
    if options["--check"]:
        if PAGE.exists() and PAGE.read_text(encoding="utf-8") == text:
            return 0
        print(f"{PAGE} is not current; run python -m tools.write_settings_page")
        return 1
    PAGE.parent.mkdir(parents=True, exist_ok=True)
    PAGE.write_text(text, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
