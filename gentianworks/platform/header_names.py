"""Header names: the HTTP headers of the platform's messages."""

from __future__ import annotations

# ID of one attempt of a client; each retry has another.
REQUEST_ID = "request-id"
# Milliseconds until the client's deadline.
REQUEST_DEADLINE = "request-deadline"
# ID of the replica incarnation that may run the request; any other rejects it.
EXPECT_INSTANCE = "expect-instance"
# Name of the workspace to which the client's API key belongs.
TENANT_ID = "tenant-id"
# Urgency from 0 (most urgent) to 9.
REQUEST_PRIORITY = "request-priority"
# IP:PORT of a replica from which the prompt's KV cache is fetched before the request.
KV_FETCH = "kv-fetch"
LAST_EVENT_ID = "last-event-id"
# Number of prompt tokens and maximum number of output tokens, separated by a comma.
TOKEN_COUNTS = "token-counts"
# Parts of the prompt as ID:TOKENS, separated by commas.
PROMPT_PREFIX = "prompt-prefix"
# Set by the replica that produced the response.
RESPONSE_SIGNATURE = "response-signature"
# Present if the replica has not run the request.
NOT_EXECUTED = "not-executed"
# Numbers of running requests, waiting requests and slots, separated by commas; then, on
# some deployments, how long work takes there now, in percent of the usual.
INSTANCE_LOAD = "instance-load"
# Requests a second, a decimal number, that the replica takes from all routers together.
SERVER_LIMIT = "server-limit"
AUTHORIZATION = "authorization"
BEARER = "Bearer "

# Headers that only the system may set on a request to a replica.
SYSTEM_HEADERS = frozenset(
    {
        AUTHORIZATION,
        EXPECT_INSTANCE,
        "expect-version",
        "hold",
        "kv-backup",
        KV_FETCH,
        "kv-from",
        LAST_EVENT_ID,
        "pin-ms",
        REQUEST_DEADLINE,
        REQUEST_PRIORITY,
        TENANT_ID,
    }
)

# Headers that a replica needs, also if a client lists them in its Connection header.
REPLICA_HEADERS = frozenset({"host", "model", PROMPT_PREFIX, REQUEST_ID, TOKEN_COUNTS})

# Hop-by-hop headers, which apply to one connection and are not forwarded.
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
