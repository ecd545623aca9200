"""Name the headers, paths, topics and fields that the platform uses."""

from __future__ import annotations

__all__: list[str] = []

# Headers of requests and answers, in lower case as h11 delivers them.

#: Id of one attempt of a caller; answers carry the same id.
REQUEST_ID = b"request-id"

#: Remaining milliseconds until the deadline; not a date.
DEADLINE = b"deadline-ms"

#: Id of the last event of a resumed stream that the caller has received.
LAST_EVENT_ID = b"last-event-id"

#: Signature of the body of a backend server's answer.
SIGNATURE = b"response-seal"

#: Name of the client account, set by the entry host.
ACCOUNT = b"tenant"

#: The caller's API key, without a scheme before it.
KEY = b"credential"

#: Id of the only incarnation of a backend server that may run the request.
EXPECTED_SERVER = b"target-instance"

#: On an answer: the backend server promises not to have run the request.
NOT_RUN = b"not-executed"

#: On an answer: requests per second that the backend server accepts from all entry
#: hosts together, for as long as its answers have the header; a decimal number.
RATE_LIMIT = b"server-limit"

#: On each answer of the store: number that rises by one when the store has been
#: restored from an older copy.
ERA = "store-era"

#: Number of prompt tokens and maximum number of generated tokens: ``"IN,OUT"``.
TOKENS = b"token-usage"

#: Parts of the prompt in their order, as ``"ID:TOKENS"`` with a hexadecimal id,
#: separated by commas.  The last one belongs to the request itself or to its session.
PROMPT_PARTS = b"prefix-hash"

MODEL = b"model"
PRIORITY = b"request-priority"

#: Seconds after which a refused request should be sent again.  On a backend server's
#: 503: seconds for which the server wants no requests from this entry host.
RETRY_AFTER = b"retry-after"

#: On an answer: ``1`` if the backend server is leaving.
LEAVING = b"server-leaving"

#: Headers that an entry host sets itself; a caller's values for them are dropped.
SET_BY_ENTRY_HOST = frozenset({ACCOUNT, KEY, EXPECTED_SERVER, PRIORITY, DEADLINE})

#: Path of an engine's report about itself.
REPORT_PATH = "/report"

# Topics of the store and the contents of their records.

#: Contains the newest configuration under the key CONFIGURATION_KEY.
OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"

#: Prefix of the key of an evacuation request; the availability zone's name follows.
EVACUATION_KEY = "evacuate/"

#: Contains each backend server's record under its id; written by the servers.
SERVERS_TOPIC = "keyed.servers"

#: Topics written by the entry hosts: entry hosts by name, and groups by name.
HOSTS_TOPIC = "keyed.hosts"
GROUPS_TOPIC = "keyed.groups"
