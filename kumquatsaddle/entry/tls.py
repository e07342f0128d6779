"""TLS contexts for callers and for links between instances, from the settings."""

import ssl

from kumquatsaddle.exceptions import SettingsError

__all__ = [
    "make_caller_context",
    "make_control_client_context",
    "make_control_server_context",
]


def make_caller_context(settings):
    """Return the server context for callers, or None without a certificate.

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
    """Return the server context for links, or None without a certificate.

    A peer must present a certificate that a certificate authority (CA) in
    ``control_ca_file`` has signed.

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
    """Return the client context for links, or None without a certificate.

    Instances connect to the IP addresses in the member table. The signature of the
    certificate authority (CA) is therefore verified, but no host name.

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
    _load_ca_file(context, settings)
    return context


def _load_certificate(context, settings, certificate_setting, key_setting):
    certificate_path = settings.get("tls", certificate_setting)
    key_path = settings.get("tls", key_setting)
    for setting, path in (
        (certificate_setting, certificate_path),
        (key_setting, key_path),
    ):
        _check_readable(settings, setting, path)
    try:
        # Without a password callback OpenSSL would prompt on the terminal.
        context.load_cert_chain(certificate_path, key_path, password=lambda: b"")
    except (ssl.SSLError, OSError) as error:
        problem = (
            f"{certificate_path} and {key_path} are not a certificate and its key: "
            f"{error}"
        )
        raise SettingsError(
            problem, settings.file, "tls", certificate_setting
        ) from None


def _load_ca_file(context, settings):
    path = settings.get("tls", "control_ca_file")
    _check_readable(settings, "control_ca_file", path)
    try:
        context.load_verify_locations(path)
    except (ssl.SSLError, OSError) as error:
        problem = f"{path} contains no valid CA certificate: {error}"
        raise SettingsError(problem, settings.file, "tls", "control_ca_file") from None


def _check_readable(settings, setting, path):
    try:
        with open(path, "rb"):
            pass
    except (OSError, ValueError) as error:
        problem = f"{path} cannot be read: {getattr(error, 'strerror', None) or error}"
        raise SettingsError(problem, settings.file, "tls", setting) from None
