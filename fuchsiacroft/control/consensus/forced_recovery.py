"""Forced recovery with one member after the permanent loss of a majority."""

import secrets

from expression import Error, Ok, Result

from fuchsiacroft.control.consensus.configurations import recovered_configuration
from fuchsiacroft.control.consensus.joining import GROUP_ID_BYTES
from fuchsiacroft.control.consensus.member import encode_configuration
from fuchsiacroft.control.records import Configuration, Entry, GroupMember
from fuchsiacroft.control.storage import Storage


async def force_single_voter(storage: Storage) -> Result[Configuration, str]:
    """Make this disk's member the only voter of a group with a new id.

    The new id prevents members of the old group from joining. Entries that only
    the lost disks held are lost; uncommitted entries on this disk become
    committed. Returns an error if the disk was not a voter or is full.
    """
    state = await storage.open()
    configuration = recovered_configuration(state)
    identity = state.identity
    found = configuration.find(identity.identity)
    if found is None or not found.voter:
        return Error("this disk was not a voter of the group")
    sole_voter = GroupMember(identity.identity, identity.node, found.address, True)
    group = secrets.token_hex(GROUP_ID_BYTES)
    new_configuration = Configuration(group, (sole_voter,))
    last = state.entries[-1].index if state.entries else state.base.index
    kind, body = encode_configuration(new_configuration)
    term = state.term + 1
    storage.save_term(term, identity.identity)
    storage.append([Entry(last + 1, term, kind, body)])
    await storage.sync()
    trusted = await storage.mark_trusted()
    return Ok(new_configuration) if trusted.is_ok() else Error("the disk is full")
