"""The replicated log over a durable majority of the control members.

Raft's leader, terms and log matching, with pre-vote, a leader lease, learners
and one-at-a-time member change. `docs/design/consensus.md` says why.
"""

from fuchsiacroft.control.consensus.service import ConsensusLog, create

__all__ = ["ConsensusLog", "create"]
