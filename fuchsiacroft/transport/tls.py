"""TLS for the HTTP listeners; the context is reloaded in place."""

import ssl

from expression import Error, Ok, Result

from fuchsiacroft.config.settings import Tls


def server_context(files: Tls) -> Result[ssl.SSLContext, str]:
    """Return a server context, or why the files cannot be used."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    match _load(context, files):
        case Result(tag="error", error=reason):
            return Error(reason)
    return Ok(context)


def reload(context: ssl.SSLContext, files: Tls) -> Result[None, str]:
    """Reload the certificate and key for new connections.

    They are loaded into a separate context first, so that a certificate that
    does not match its key leaves the live context unchanged. Open connections
    are not affected.
    """
    match server_context(files):
        case Result(tag="error", error=reason):
            return Error(reason)
    return _load(context, files)


def _load(context: ssl.SSLContext, files: Tls) -> Result[None, str]:
    try:
        context.load_cert_chain(files.certificate, files.key)
    except (OSError, ssl.SSLError) as exc:
        return Error(f"{files.certificate}, {files.key}: {exc}")
    return Ok(None)
