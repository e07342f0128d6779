import tempfile
from pathlib import Path

from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from kumquatsaddle.exceptions import SettingsError
from kumquatsaddle.settings import (
    Settings,
    known_fields,
    load_settings,
    reload_settings,
)
from kumquatsaddle.settings.parsers import parsers
from tools.write_settings_page import PAGE, render_page

VALID = """\
[instance]
id = one
zone = a
[listen]
callers = 127.0.0.1:8000
control = 127.0.0.1:8001
operators = [::1]:8002
[platform]
kind = memory
[limits]
idle_timeout = 5 s
body_bytes = 1000 B
[service:lookup]
floor = 0.5
"""
TOKENS = ["[", "]", "=", "\n", " ", ":", "%", "\0", "\r", ";", "[tls]\n", "[limits]\n"]
TOKENS += ["id = x\n", "\u0661", "1e999", "-1", ",", "\ufeff", "[DEFAULT]\nid = y\n"]


def load_text(text):
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "node.ini"
        data = text if isinstance(text, bytes) else text.encode("utf-8", "ignore")
        file.write_bytes(data)
        try:
            return load_settings(file)
        except SettingsError as error:
            assert str(error).startswith(str(file)), error
            return error


@st.composite
def mutated_files(draw):
    text = VALID
    for _ in range(draw(st.integers(1, 6))):
        start = draw(st.integers(0, len(text)))
        stop = start + draw(st.integers(0, 10))
        token = draw(st.one_of(st.sampled_from(TOKENS), st.text(max_size=5)))
        text = text[:start] + token + text[stop:]
    return text


def check_loaded(loaded):
    if isinstance(loaded, Settings):
        for field in known_fields():
            value = loaded.get(field.section, field.key)
            assert field.low is None or field.low <= value <= field.high


@then("any text or mutation of a settings file loads or raises a SettingsError")
def check_files(context):
    @for_all(st.one_of(mutated_files(), st.text(), st.binary()))
    def check(text):
        check_loaded(load_text(text))

    assert isinstance(load_text(VALID), Settings)
    check()


@then("any value of any key loads or raises an error of its section and key")
def check_values(context):
    words = st.from_regex(r"[^\r\n\x85\u2028\u2029\x0b\x0c\x1c-\x1e]*", fullmatch=True)
    numbers = st.one_of(st.integers(), st.floats()).map(str)

    @for_all(st.sampled_from(known_fields()), st.one_of(words, numbers))
    def check(field, text):
        head = "" if f"[{field.section}]\n" in VALID else f"[{field.section}]\n"
        lines = [
            line
            for line in VALID.splitlines()
            if not line.startswith(f"{field.key} =") or field.section == "tls"
        ]
        base = "\n".join(lines) + "\n"
        line = f"{field.key} = {text}\n"
        if head:
            base += head + line
        else:
            mark = f"[{field.section}]\n"
            base = base.replace(mark, mark + line)
        loaded = load_text(base)
        check_loaded(loaded)
        if isinstance(loaded, SettingsError) and field.section != "tls":
            assert loaded.section in (field.section, "platform"), loaded
            assert loaded.key in (field.key, "url"), loaded

    check()


@then("every field has a type, a range or choices, a valid default and a description")
def check_fields(context):
    places = [(field.section, field.key) for field in known_fields()]
    assert len(set(places)) == len(places)
    for field in known_fields():
        assert field.kind in parsers.names() and field.doc.endswith("."), field
        if field.kind in ("integer", "number"):
            assert field.unit and field.low <= field.default <= field.high, field
        if field.kind == "choice":
            assert field.default in field.choices, field


@then("the settings page is current")
def check_page(context):
    assert PAGE.read_text(encoding="utf-8") == render_page()


@then('the line "{line}" in section "{section}" is refused with "{message}"')
def check_mistake(context, line, section, message):
    mark = f"[{section}]\n"
    text = VALID.replace("body_bytes = 1000 B\n", "").replace(
        "idle_timeout = 5 s\n", ""
    )
    text = text if mark in text else text + mark
    error = load_text(text.replace(mark, f"{mark}{line}\n"))
    assert isinstance(error, SettingsError), error
    assert message in error.problem and error.section == section, error
    assert section == "DEFAULT" or error.section != "limits" or error.key in line


def reload_text(text):
    """Return the settings after a reload of `text`, and the changes or the error.

    None for `text` removes the file.
    """
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "node.ini"
        file.write_text(VALID)
        settings = load_settings(file)
        if text is None:
            file.unlink()
        else:
            file.write_text(text)
        try:
            return settings, reload_settings(settings)
        except SettingsError as error:
            return settings, error


@then("a reload applies changed live keys")
def check_live(context):
    text = VALID.replace("5 s", "6 s") + "[log]\nlevel = DEBUG\n"
    settings, changed = reload_text(text)
    assert changed == {("limits", "idle_timeout"): 6.0, ("log", "level"): "DEBUG"}
    assert settings.get("limits", "idle_timeout") == 6.0


@then("a reload that changes another key applies nothing and names the key")
def check_not_live(context):
    for old, new, key in (("id = one", "id = two", "id"), ("0.5", "0.6", None)):
        text = VALID.replace("5 s", "6 s").replace(old, new)
        settings, error = reload_text(text)
        assert isinstance(error, SettingsError) and error.key == key, error
        assert settings.get("limits", "idle_timeout") == 5.0


@then("a reload of a broken or missing file applies nothing")
def check_broken(context):
    for text in (VALID.replace("5 s", "6 s") + "[log]\nlevel = LOUD\n", None):
        settings, error = reload_text(text)
        assert isinstance(error, SettingsError), error
        assert settings.get("limits", "idle_timeout") == 5.0
