"""Names: the headers and fields of the platform's messages."""

from __future__ import annotations

# The id of one attempt of a client; each retry has another.
REQUEST_ID = "request-id"
# Milliseconds that the client still waits.
REQUEST_DEADLINE = "request-deadline"
# The incarnation of a replica that alone may run the request.
EXPECT_INSTANCE = "expect-instance"
# The name of the workspace that holds the client's API key.
TENANT_ID = "tenant-id"
# Urgency from 0 to 9, 0 first.
REQUEST_PRIORITY = "request-priority"
# IP:PORT of a replica from which the prompt's memory is fetched before the request.
KV_FETCH = "kv-fetch"
LAST_EVENT_ID = "last-event-id"
# Prompt tokens and most output tokens, separated by a comma.
TOKEN_COUNTS = "token-counts"
# Parts of the prompt as ID:TOKENS, separated by commas.
PROMPT_PREFIX = "prompt-prefix"
# Set by the replica that made the answer.
RESPONSE_SIGNATURE = "response-signature"
# Present where the replica has not run the request.
NOT_EXECUTED = "not-executed"
# Running and waiting requests and slots, separated by commas.
INSTANCE_LOAD = "instance-load"
AUTHORIZATION = "authorization"
BEARER = "Bearer "

# Headers that only the system may set towards a replica.
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

# Headers that concern one connection alone.
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
