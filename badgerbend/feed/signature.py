"""The publisher's Ed25519 signature of checkpoints, based on the cryptography library.

Relays neither sign nor verify.
"""

from __future__ import annotations

from typing import Protocol

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey


class Signer(Protocol):
    """Signs as the publisher."""

    def sign(self, payload: bytes) -> bytes:
        """Return the signature of a payload."""
        ...


class Verifier(Protocol):
    """Verifies the publisher's signatures."""

    def verify(self, payload: bytes, signature: bytes) -> bool:
        """Whether the publisher signed this payload."""
        ...


class Ed25519Signer:
    """A `Signer` that uses a private key of 32 bytes."""

    def __init__(self, private_key: bytes) -> None:
        self._key = Ed25519PrivateKey.from_private_bytes(private_key)

    def sign(self, payload: bytes) -> bytes:
        """Return the signature of a payload, which has 64 bytes."""
        return self._key.sign(payload)

    def public_key(self) -> bytes:
        """Return the public key, which has 32 bytes."""
        return self._key.public_key().public_bytes_raw()


class Ed25519Verifier:
    """A `Verifier` that uses a public key of 32 bytes."""

    def __init__(self, public_key: bytes) -> None:
        self._key = Ed25519PublicKey.from_public_bytes(public_key)

    def verify(self, payload: bytes, signature: bytes) -> bool:
        """Whether the holder of the private key signed this payload."""
        try:
            self._key.verify(signature, payload)
        except InvalidSignature:
            return False
        return True
