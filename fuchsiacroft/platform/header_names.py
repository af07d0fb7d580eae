"""The platform's HTTP headers and the format of their values."""

REQUEST_ID = "Fuchsiacroft-Attempt-Id"
"""Id of one client attempt; each retry by the client has a new one."""
DEADLINE = "Fuchsiacroft-Deadline-Ms"
"""Milliseconds that the client waits; towards a replica, the time that remains."""
API_KEY = "X-Api-Key"
TENANT = "Fuchsiacroft-Tenant"
EXPECTED_REPLICA = "Fuchsiacroft-Expect-Replica"
TOKEN_COUNT = "Fuchsiacroft-Token-Count"
"""Prompt tokens and maximum output tokens, separated by a comma."""
LENGTH_HINT = "Fuchsiacroft-Length-Hint"
"""The client's estimate of the output tokens."""
PROMPT_PARTS = "Fuchsiacroft-Prefix-Hash"
"""The parts of the prompt in order, ID:TOKENS each; the last is the request's own."""
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
"""Id of the client attempt that brought the first event of the stream taken up."""
NOT_EXECUTED = "Fuchsiacroft-Not-Executed"
"""On a response: the replica did not run the request."""
SEAL = "Fuchsiacroft-Replica-Seal"
"""On a response: the replica's signature of the response."""
SERVER_LEAVING = "Server-Leaving"
"""On a response: the replica leaves and wants no new requests, if the value is 1."""
SERVER_LIMIT = "Server-Limit"
"""On a response: requests a second that the replica takes from all machines together,
as a decimal number."""
REPLICA_LOAD = "Fuchsiacroft-Replica-Load"
"""On a response: the requests that the replica runs and queues, its slots, and at some
deployments how long work takes there now in percent of the usual, with commas."""

RESERVED = frozenset(
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
"""Clients' values of these headers are not forwarded unchanged."""
