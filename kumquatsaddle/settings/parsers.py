"""Parsers of setting values: a registry with one parser per kind."""

import ipaddress
import math
import re

from kumquatsaddle.registries import Registry

__all__ = ["Address", "parse_address", "parse_value", "parsers"]

parsers = Registry("kind of setting")

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}\Z")
# ASCII digits only: int() and float() also accept digits of other scripts and
# underscores.
_INTEGER_PATTERN = re.compile(r"[+-]?[0-9]{1,18}\Z")
_NUMBER_PATTERN = re.compile(
    r"[+-]?(?:[0-9]+\.?[0-9]*|\.[0-9]+)(?:[eE][+-]?[0-9]{1,3})?\Z"
)
_BOOLEANS = {"true": True, "false": False}
_MILLISECONDS = "ms"
_MAX_PORT_DIGITS = 5
_MAX_PORT = 65535


class Address(tuple):
    """An IP address and a port, written ``host:port``."""

    __slots__ = ()

    def __new__(cls, host, port):
        """Return the address of an IP address as text and a port number."""
        return super().__new__(cls, (host, port))

    @property
    def host(self):
        """The IP address as text."""
        return self[0]

    @property
    def port(self):
        """The port."""
        return self[1]

    def __str__(self):
        return f"[{self[0]}]:{self[1]}" if ":" in self[0] else f"{self[0]}:{self[1]}"


def parse_address(text):
    """Parse ``host:port``, whose host must be an IP address.

    Raises
    ------
    ValueError
        If the host is not an IP address or the port is out of range.

    Examples
    --------
    >>> str(parse_address("127.0.0.1:80"))
    '127.0.0.1:80'
    """
    host, separator, port = text.strip().rpartition(":")
    if not separator:
        raise ValueError(f"{text!r} is not an address of the form host:port")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"{host!r} is not an IP address") from None
    is_number = port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS
    if not is_number or int(port) > _MAX_PORT:
        raise ValueError(f"{port!r} is not a port number")
    return Address(host, int(port))


def parse_value(field, text):
    """Parse `text` as the value of `field`.

    Raises
    ------
    ValueError
        If `text` is not a value of the kind of the field or is out of range.
    """
    value = parsers.get(field.kind)(field, text)
    if field.low is not None and not field.low <= value <= field.high:
        unit = f" {field.unit}" if field.unit else ""
        raise ValueError(f"{text} is outside {field.low} to {field.high}{unit}")
    return value


@parsers.register("text")
@parsers.register("path")
def _parse_text(field, text):
    if not text.isprintable():
        raise ValueError(f"{text!r} contains a line break or a control character")
    return text


@parsers.register("name")
def _parse_name(field, text):
    if not _NAME_PATTERN.match(text):
        raise ValueError(f"{text!r} is not a name of letters, digits, '.', '_', '-'")
    return text


@parsers.register("integer")
def _parse_integer(field, text):
    number = _strip_unit(field, text)
    if not _INTEGER_PATTERN.match(number):
        raise ValueError(f"{text!r} is not a whole number")
    return int(number)


@parsers.register("number")
def _parse_number(field, text):
    number, scale = _strip_unit(field, text), 1
    if field.unit == "s" and text.strip().endswith(_MILLISECONDS):
        number, scale = text.strip().removesuffix(_MILLISECONDS).rstrip(), 1000
    if not _NUMBER_PATTERN.match(number) or not math.isfinite(float(number)):
        raise ValueError(f"{text!r} is not a finite number")
    return float(number) / scale


@parsers.register("boolean")
def _parse_boolean(field, text):
    value = _BOOLEANS.get(text.strip().lower())
    if value is None:
        raise ValueError(f"{text!r} is not true or false")
    return value


@parsers.register("choice")
def _parse_choice(field, text):
    if text not in field.choices:
        raise ValueError(f"{text!r} is not one of {', '.join(field.choices)}")
    return text


@parsers.register("address")
def _parse_address(field, text):
    return parse_address(text)


@parsers.register("optional_address")
def _parse_optional_address(field, text):
    return parse_address(text) if text.strip() else None


@parsers.register("addresses")
def _parse_addresses(field, text):
    return tuple(parse_address(part) for part in text.replace(",", " ").split())


@parsers.register("paths")
def _parse_paths(field, text):
    paths = tuple(text.replace(",", " ").split())
    return tuple(_parse_text(field, path) for path in paths)


def _strip_unit(field, text):
    number = text.strip()
    if field.unit and number.endswith(field.unit):
        number = number[: -len(field.unit)].rstrip()
    return number
