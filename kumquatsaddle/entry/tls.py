"""TLS contexts from the settings: towards callers and between instances."""

import ssl

from kumquatsaddle.exceptions import SettingsError

__all__ = [
    "make_caller_context",
    "make_control_client_context",
    "make_control_server_context",
]


def make_caller_context(settings):
    """Return the context towards callers, or None without a certificate.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    ssl.SSLContext or None

    Raises
    ------
    SettingsError
        If the certificate or its key cannot be read or do not match.
    """
    if not settings.get("tls", "certificate_file"):
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["http/1.1"])
    _load_certificate(context, settings, "certificate_file", "key_file")
    return context


def make_control_server_context(settings):
    """Return the context for links from other instances, or None without one.

    The peer must present a certificate of the authority in ``control_ca_file``.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    ssl.SSLContext or None

    Raises
    ------
    SettingsError
        If a file cannot be read or does not match.
    """
    return _make_control_context(settings, ssl.PROTOCOL_TLS_SERVER)


def make_control_client_context(settings):
    """Return the context for links to other instances, or None without one.

    Instances are reached by IP address, and the membership names them, so the
    authority is verified but not a host name.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    ssl.SSLContext or None

    Raises
    ------
    SettingsError
        If a file cannot be read or does not match.
    """
    return _make_control_context(settings, ssl.PROTOCOL_TLS_CLIENT)


def _make_control_context(settings, protocol):
    if not settings.get("tls", "control_certificate_file"):
        return None
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    _load_certificate(context, settings, "control_certificate_file", "control_key_file")
    _load_authority(context, settings)
    return context


def _load_certificate(context, settings, certificate_key, key_key):
    certificate = settings.get("tls", certificate_key)
    key = settings.get("tls", key_key)
    for name, path in ((certificate_key, certificate), (key_key, key)):
        _check_readable(settings, name, path)
    try:
        # Without a password function OpenSSL would ask on the terminal.
        context.load_cert_chain(certificate, key, password=lambda: b"")
    except (ssl.SSLError, OSError) as error:
        problem = f"{certificate} and {key} are no certificate and its key: {error}"
        raise SettingsError(problem, settings.file, "tls", certificate_key) from None


def _load_authority(context, settings):
    path = settings.get("tls", "control_ca_file")
    _check_readable(settings, "control_ca_file", path)
    try:
        context.load_verify_locations(path)
    except (ssl.SSLError, OSError) as error:
        problem = f"{path} holds no certificate: {error}"
        raise SettingsError(problem, settings.file, "tls", "control_ca_file") from None


def _check_readable(settings, key, path):
    try:
        with open(path, "rb"):
            pass
    except (OSError, ValueError) as error:
        problem = f"{path}: {getattr(error, 'strerror', None) or error}"
        raise SettingsError(problem, settings.file, "tls", key) from None
