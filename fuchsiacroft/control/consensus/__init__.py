"""The replicated log of the control members, an implementation of Raft.

Includes pre-vote, a leader lease, learners and single-server membership
changes. `docs/design/consensus.md` gives the reasons.
"""

from fuchsiacroft.control.consensus.service import ConsensusLog, create

__all__ = ["ConsensusLog", "create"]
