"""The publisher's signature on checkpoints: Ed25519 from the cryptography library. Relays have no part in it."""

from __future__ import annotations

from typing import Protocol

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey


class Signer(Protocol):
    """Signs as the publisher."""

    def sign(self, payload: bytes) -> bytes: ...


class Verifier(Protocol):
    """Tells whether the publisher signed."""

    def verify(self, payload: bytes, signature: bytes) -> bool: ...


class Ed25519Signer:
    """`Signer` with a private key of 32 bytes."""

    def __init__(self, private_key: bytes) -> None:
        self._key = Ed25519PrivateKey.from_private_bytes(private_key)

    def sign(self, payload: bytes) -> bytes:
        return self._key.sign(payload)

    def public_key(self) -> bytes:
        return self._key.public_key().public_bytes_raw()


class Ed25519Verifier:
    """`Verifier` with the public key of 32 bytes."""

    def __init__(self, public_key: bytes) -> None:
        self._key = Ed25519PublicKey.from_public_bytes(public_key)

    def verify(self, payload: bytes, signature: bytes) -> bool:
        try:
            self._key.verify(signature, payload)
        except InvalidSignature:
            return False
        return True
