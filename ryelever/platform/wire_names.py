"""Name the headers, paths, topics and fields that the platform uses."""

from __future__ import annotations

__all__: list[str] = []

# Headers of requests and answers, in lower case as h11 delivers them.

#: Id of one attempt of a caller; answers repeat it.
REQUEST_ID = b"request-id"

#: Milliseconds that are left; not a date.
DEADLINE = b"deadline-ms"

#: Id of the last event that the caller holds of a resumed stream.
LAST_EVENT_ID = b"last-event-id"

#: Vouches for the body of a backend server's answer.
SIGNATURE = b"response-seal"

#: Name of the client account, set by the entry host.
ACCOUNT = b"tenant"

#: The caller's key, the bare value.
KEY = b"credential"

#: Id of the incarnation of the backend server that may run the request.
EXPECTED_SERVER = b"target-instance"

#: On an answer: the backend server promises not to have run the request.
NOT_RUN = b"not-executed"

#: On an answer: requests a second that the backend server takes from all entry hosts
#: together, as long as its answers say so; a decimal number.
RATE_LIMIT = b"server-limit"

#: On each answer of the store: rises by one when it came back from an older copy.
ERA = "store-era"

#: Prompt tokens and the most tokens to write: ``"IN,OUT"``.
TOKENS = b"token-usage"

MODEL = b"model"
PRIORITY = b"request-priority"
RETRY_AFTER = b"retry-after"

#: Headers that an entry host sets itself, whatever a caller sent under the name.
SET_BY_ENTRY_HOST = frozenset({ACCOUNT, KEY, EXPECTED_SERVER, PRIORITY, DEADLINE})

# Topics of the store, and what the records hold.

#: Holds the newest configuration under the key CONFIGURATION_KEY.
OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"

#: Beginning of the key of a request to evacuate an availability zone; its name follows.
EVACUATION_KEY = "evacuate/"

#: Holds each backend server under its id; written by the servers themselves.
SERVERS_TOPIC = "keyed.servers"

#: The project's own topics: entry hosts by name, and groups by name.
HOSTS_TOPIC = "keyed.hosts"
GROUPS_TOPIC = "keyed.groups"
