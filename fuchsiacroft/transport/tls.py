"""TLS for the HTTP listeners: one live context, reloaded in place."""

import ssl

from expression import Error, Ok, Result

from fuchsiacroft.config.settings import Tls


def server_context(files: Tls) -> Result[ssl.SSLContext, str]:
    """Return a context for listeners, or why the files cannot be used."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    match _load(context, files):
        case Result(tag="error", error=reason):
            return Error(reason)
    return Ok(context)


def reload(context: ssl.SSLContext, files: Tls) -> Result[None, str]:
    """Serve new connections with the files as they are now.

    They are tried on another context first, so that a certificate without its
    key leaves the live one as it was. Open connections go on.
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
