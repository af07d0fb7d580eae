"""The CURVE keys of a process, which can be replaced at runtime."""

from collections.abc import Callable
from dataclasses import dataclass

import zmq
from zmq.utils import z85

from fuchsiacroft.config.settings import MAX_SHARED_KEYS, Keys, Settings


@dataclass(frozen=True, slots=True)
class KeyChange:
    """What must be done after the keys were replaced.

    `rebind_listener` is true if accepted connections must be closed, and
    `reconnect_clients` if the connections to peers must be reopened.
    """

    rebind_listener: bool
    reconnect_clients: bool


class KeyRing:
    """The process's key pair, the accepted public keys and the peers' public keys."""

    def __init__(self, settings: Settings) -> None:
        self._listeners: list[Callable[[KeyChange], None]] = []
        self._keys: Keys | None = None
        self._peer_keys: dict[str, tuple[str, ...]] = {}
        self._apply(settings)

    @property
    def enabled(self) -> bool:
        """Whether connections are encrypted and authenticated."""
        return self._keys is not None

    def on_change(self, listener: Callable[[KeyChange], None]) -> None:
        """Call `listener` after every replacement."""
        self._listeners.append(listener)

    def replace(self, settings: Settings) -> bool:
        """Use the keys of new settings; return whether they differ."""
        keys, peer_keys = self._keys, self._peer_keys
        self._apply(settings)
        if (keys, peer_keys) == (self._keys, self._peer_keys):
            return False
        key_pair_changed = _key_pair(keys) != _key_pair(self._keys)
        removed_keys = _accepted(keys) - _accepted(self._keys)
        accepted_changed = _accepted(keys) != _accepted(self._keys)
        reconnect_clients = (
            key_pair_changed or accepted_changed or peer_keys != self._peer_keys
        )
        for listener in self._listeners:
            listener(
                KeyChange(key_pair_changed or bool(removed_keys), reconnect_clients)
            )
        return True

    def accepts(self, public_key: bytes) -> bool:
        """Whether a peer with this public key (32 bytes) may connect."""
        if self._keys is None:
            return False
        return z85.encode(public_key).decode() in self._keys.accepted

    def keys_of(self, peer: str) -> tuple[str, ...]:
        """Return the public keys that the peer may use, the most likely first."""
        listed = self._peer_keys.get(peer)
        if listed:
            return listed
        accepted = self._keys.accepted if self._keys is not None else []
        if len(accepted) > MAX_SHARED_KEYS:
            return ()
        own = self._keys.public if self._keys is not None else ""
        return tuple(sorted(accepted, key=lambda key: key != own))

    def apply_to_listener(self, sock: zmq.Socket) -> None:
        """Configure a socket to accept encrypted connections after its next bind."""
        if self._keys is None:
            return
        sock.curve_server = True
        sock.curve_publickey = self._keys.public.encode()
        sock.curve_secretkey = self._keys.secret.encode()

    def apply_to_client(self, sock: zmq.Socket, server_key: str) -> None:
        """Configure a socket to connect to the owner of `server_key`."""
        if self._keys is None:
            return
        sock.curve_publickey = self._keys.public.encode()
        sock.curve_secretkey = self._keys.secret.encode()
        sock.curve_serverkey = server_key.encode()

    def _apply(self, settings: Settings) -> None:
        self._keys = settings.keys
        self._peer_keys = {
            member.peers: tuple(member.public_keys)
            for member in (*settings.control, *settings.entries)
            if member.public_keys
        }


def _key_pair(keys: Keys | None) -> tuple[str, str] | None:
    return None if keys is None else (keys.public, keys.secret)


def _accepted(keys: Keys | None) -> frozenset[str]:
    return frozenset(keys.accepted if keys is not None else ())


def create(settings: Settings) -> KeyRing:
    """Return the key ring of a process; without keys nothing is encrypted."""
    return KeyRing(settings)
