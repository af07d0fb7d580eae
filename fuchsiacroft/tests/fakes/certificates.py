"""A self-signed certificate for 127.0.0.1, for TLS tests."""

import datetime
import ipaddress
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from fuchsiacroft.config.settings import Tls

LOOPBACK = ipaddress.ip_address("127.0.0.1")
VALID_FROM = datetime.datetime(2020, 1, 1)
VALID_DAYS = 36_500


def write_certificate(folder: Path) -> Tls:
    """Write the certificate and its key, and return TLS settings for them."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "loopback")])
    alternative = x509.SubjectAlternativeName([x509.IPAddress(LOOPBACK)])
    builder = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(VALID_FROM)
        .not_valid_after(VALID_FROM + datetime.timedelta(days=VALID_DAYS))
        .add_extension(alternative, critical=False)
    )
    certificate = builder.sign(key, hashes.SHA256())
    cert_file = folder / "certificate.pem"
    key_file = folder / "key.pem"
    cert_file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    key_file.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return Tls(str(cert_file), str(key_file), ca=str(cert_file))
