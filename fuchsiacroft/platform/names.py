"""The platform's names of headers, and how their values read."""

REQUEST_ID = "Fuchsiacroft-Attempt-Id"
"""One client attempt; a client's retry has another."""
DEADLINE = "Fuchsiacroft-Deadline-Ms"
"""Milliseconds that the client, or what is left of it a replica, will wait."""
API_KEY = "X-Api-Key"
TENANT = "Fuchsiacroft-Tenant"
EXPECTED_REPLICA = "Fuchsiacroft-Expect-Replica"
TOKEN_COUNT = "Fuchsiacroft-Token-Count"
"""Prompt tokens and the most output tokens, with a comma between."""
LENGTH_HINT = "Fuchsiacroft-Length-Hint"
"""The client's estimate of the output tokens."""
LAST_EVENT_ID = "Last-Event-Id"
NOT_EXECUTED = "Fuchsiacroft-Not-Executed"
"""On an answer: the replica did not run the request."""

SET_BY_US = frozenset(
    {
        DEADLINE.lower(),
        EXPECTED_REPLICA.lower(),
        TENANT.lower(),
        API_KEY.lower(),
        LAST_EVENT_ID.lower(),
        "fuchsiacroft-hold",
        "fuchsiacroft-pin-ms",
        "fuchsiacroft-kv-backup",
        "kv-from",
        "kv-fetch",
    }
)
"""What a client sends under these names is not passed on as it came."""
