"""How long a request may wait for a place to run.

The load that this answers is a burst past the places of all backend servers.
The most urgent requests are few and worth waiting for, even when late. Others
wait while they can still be answered in time; one that cannot is better told
at once, so that it comes back when there is room.
"""

from fuchsiacroft.gateway.call import Call

URGENT_SHARE = 0.35
"""Of the time that an urgent request has, for its wait."""
TARGET_SHARE = 0.6
"""Of the latency target, for the wait of any other; the rest is for its run."""
MIN_WAIT_S = 0.02


def max_wait_s(call: Call, left_s: float) -> float:
    """Return the longest wait, in seconds, of a request with so much time left."""
    if call.route.rank == 0:
        return max(URGENT_SHARE * left_s, MIN_WAIT_S)
    wait_s = TARGET_SHARE * call.route.latency_target_s
    return max(min(wait_s, URGENT_SHARE * left_s), MIN_WAIT_S)
