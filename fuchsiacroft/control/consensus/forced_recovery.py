"""Going on alone after a majority of the disks is lost for good."""

import secrets

from expression import Error, Ok, Result

from fuchsiacroft.control.consensus.configurations import recovered_configuration
from fuchsiacroft.control.consensus.joining import GROUP_ID_BYTES
from fuchsiacroft.control.consensus.member import encode_configuration
from fuchsiacroft.control.records import Configuration, Entry, GroupMember
from fuchsiacroft.control.storage import Storage


async def force_single_voter(storage: Storage) -> Result[Configuration, str]:
    """Make the disk's member the only voter of a group under a new id.

    The new id keeps members of the old group out. Entries that only the lost
    disks held are lost; entries here that were never committed will be.
    """
    state = await storage.open()
    configuration = recovered_configuration(state)
    identity = state.identity
    found = configuration.find(identity.identity)
    if found is None or not found.voter:
        return Error("this disk was no voter of the group")
    alone = GroupMember(identity.identity, identity.node, found.address, True)
    group = secrets.token_hex(GROUP_ID_BYTES)
    after = Configuration(group, (alone,))
    last = state.entries[-1].index if state.entries else state.base.index
    kind, body = encode_configuration(after)
    term = state.term + 1
    storage.save_term(term, identity.identity)
    storage.append([Entry(last + 1, term, kind, body)])
    await storage.sync()
    trusted = await storage.trust()
    return Ok(after) if trusted.is_ok() else Error("the disk is full")
