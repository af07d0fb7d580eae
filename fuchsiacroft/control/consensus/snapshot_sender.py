"""Sends a snapshot to a peer in chunks, under a rate limit."""

import asyncio
from typing import TYPE_CHECKING

import xxhash

from fuchsiacroft.control import records
from fuchsiacroft.control.consensus import timing
from fuchsiacroft.control.consensus.member import Member
from fuchsiacroft.control.consensus.messages import SnapshotChunk
from fuchsiacroft.utils import clock
from fuchsiacroft.utils.logs import event

if TYPE_CHECKING:
    from fuchsiacroft.control.consensus.replication import Peer, Replication


async def send_snapshot(
    member: Member, peer: "Peer", replication: "Replication"
) -> None:
    """Send the last snapshot until all chunks are acknowledged or a request fails.

    After a failed request the peer counts as unresponsive. Without a saved
    snapshot, this waits for one heartbeat period.
    """
    data = await member.storage.read_snapshot()
    if data is None:
        await asyncio.sleep(timing.HEARTBEAT_PERIOD_S)
        return
    index = records.decode_snapshot(data).index
    checksum = xxhash.xxh3_64_intdigest(data)
    event("info", "snapshot_sent", peer=peer.address, index=index, size=len(data))
    offset = 0
    while offset < len(data):
        started_at, sent_at = clock.now(), clock.lease_now()
        chunk = SnapshotChunk(
            member.configuration.group,
            member.identity,
            peer.identity,
            member.term,
            index,
            len(data),
            checksum,
            offset,
            data[offset : offset + timing.SNAPSHOT_CHUNK_BYTES],
        )
        result = await member.bus.request(peer.address, chunk, timing.APPEND_TIMEOUT_S)
        if not replication.process_reply(result, sent_at):
            peer.is_unresponsive = True
            return
        offset = result.ok.offset
        due = started_at + len(chunk.data) / timing.SNAPSHOT_BYTES_PER_S
        await asyncio.sleep(max(due - clock.now(), 0))
    peer.match_index = max(peer.match_index, index)
    peer.next_index = peer.match_index + 1
