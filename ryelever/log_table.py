"""Declare the log lines of all processes: their meanings, levels and fields.

A field has the same meaning in every line.  A test compares each logging call with
this table; docs/OPERATIONS.md explains the lines of hosts that relay.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["EVENTS_BY_NAME", "FIELDS_BY_NAME", "LogLevel", "LoggedEvent"]


class LogLevel(enum.Enum):
    """Classify log lines by their urgency for an operator.

    ``INFO``: a decision, or a change in the state that the process observes.
    ``WARNING``: an event that should not occur, after which the process continues.
    ``ERROR``: the process can't continue.
    """

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(slots=True, kw_only=True, frozen=True)
class LoggedEvent:
    """Declare one kind of log line.

    Attributes
    ----------
    meaning : str
        What a line of this kind reports.
    fields : tuple of str
        Fields that the line may have, besides ``time``, ``level`` and ``event``.
    """

    meaning: str
    fields: tuple[str, ...] = ()
    level: LogLevel = LogLevel.INFO


#: Meaning of each field, with its unit.
FIELDS_BY_NAME: dict[str, str] = {
    "after": "seconds since the cause of the line: the signal or the newest evidence",
    "appends": "records that were being appended",
    "arrived_after": "seconds from the signal to the arrival of the request",
    "as_of": "offset up to which a snapshot includes all records",
    "at": "offset at which the log was expected to end",
    "attempt": "id of one attempt to send a request to a backend server",
    "boot": "id of one run of a host's process",
    "callers_port": "port for callers",
    "changed": "whether the settings differ from those the process runs with",
    "code": "code of the error that the caller received",
    "counted": "fingerprints of requests that a crash counts against",
    "crash": "backend server that crashed, with its fencing token or start time if any",
    "crashes": "crashes that count against a request",
    "demand": "arriving work, as the number of groups that it keeps busy, by model",
    "donor": "model whose groups are taken apart for another model",
    "donor_utilization": "part of the time for which the donor's groups are busy",
    "draining": "whether a backend server has announced that it is leaving",
    "end": "offset at which the log ends",
    "epoch": "epoch of a group; -1 for none",
    "era": "era of the store; rises when the store is restored from an older copy",
    "error": "class of the exception that a programming fault raised",
    "expected_wait": "seconds until the request is expected to be sent",
    "faults": "faults of the settings, one entry per fault",
    "fencing": "fencing token of an order",
    "former": "previous era of the store; 0 for none",
    "fingerprint": "hash of a request that is the same for its repetitions",
    "fired": "event whose handler failed",
    "group": "name of a replica group; empty for none",
    "host": "name of a host",
    "in_flight": "requests in flight",
    "kind": "kind of a record or an order",
    "late": "cause of a request's delay beyond its objectives; empty for none",
    "last_event": "id of the last event that the caller received",
    "left": "seconds until the request times out",
    "limit_after": "seconds from the signal to the time limit of the request",
    "may_be_in_log": "whether the log may have carried out the append nevertheless",
    "may_have_run": "whether a backend server may have run the request",
    "members": "ids of a group's members, the head first",
    "message": "description of the failure, for people",
    "model": "name of a model",
    "ms": "milliseconds since the request arrived",
    "n": "number of items that the line is about",
    "n_ahead": "waiting requests of all hosts that go before the request",
    "n_by_state": "number of servers by state in their group; empty for none",
    "n_crashes": "crashes of backend servers that the request was in, over all hosts",
    "n_events": "events of the answer that were forwarded",
    "n_groups": "groups that serve or are being formed, by model",
    "n_by_reason": (
        "number of servers, by the phase of their group or by the models that they "
        "can join"
    ),
    "n_in_all": "total number since the start of the process",
    "n_parts": "parts of a snapshot",
    "n_moved": "members of the groups that are taken apart",
    "n_sent": "attempts to send the request so far",
    "n_serving": "members of groups that serve",
    "n_servers": "backend servers that may serve such a request",
    "n_waiting": "requests that wait for a slot at this host",
    "next_offset": "offset at which reading continues",
    "offset": "offset of a record",
    "operator": "name of an operator",
    "order": "kind of the order or query that was sent to a backend server",
    "outcome": "outcome of an order",
    "pause": "seconds for which a backend server asked to get no requests",
    "part": "id of a part of a prompt; empty if there is none",
    "parts": "ids of the parts of a prompt that other requests may share",
    "peer": "the other side: an address or the name of an entry host",
    "peers_address": "address at which other entry hosts reach this one",
    "phase": "phase of a request or a group",
    "ready_port": "port for readiness and metrics",
    "proved": "whether, or which, suspects had run past their first crash's position",
    "rank": "priorities of the account and of the route; 0 goes first",
    "rate": "requests a second that a backend server takes from all hosts; -1: any",
    "reason": "reason, one of a fixed set of values that can be counted",
    "record": "id of a record",
    "refuted": "crashes that don't count since the request has completed",
    "refused": "whether the backend server guaranteed that the request was not run",
    "repeated": "whether, or which, requests were suspects before a crash",
    "request": "id that the caller set when it sent the request",
    "retry_after": "seconds after which the caller was told to retry",
    "route": "name of the route",
    "run_state": "whether the request was run",
    "seconds": "seconds by which a clock differs",
    "service": "name of a service",
    "sent_after": "seconds from the signal to the first attempt to send the request",
    "server": "id of a backend server; empty for none",
    "state": "state of a group's member, or of the process",
    "status": "HTTP status; 0 for a stream cut off midway, or for no answer",
    "step": "step that failed",
    "stream": "stream of the log",
    "took": "seconds from the decision to form a group until the group serves",
    "topic": "topic of the store",
    "traceback": "end of the traceback",
    "unsent": "callers to whom the answer has not been sent completely",
    "utilization": "part of the time for which the groups of a model are busy",
    "version": "version of a configuration; -1 for none",
    "views_age": "seconds since the oldest heartbeat used was received",
    "what": "item that was requested",
    "why": "last failure of the dependency; empty if there was none",
    "zone": "name of an availability zone",
}

_FAILURE = ("message", "peer", "step")
_GROUP = ("group", "epoch", "model")
_ROOM = ("rank", "n_ahead", "expected_wait", "retry_after", "views_age")
_SERVER = ("server", "draining", "group", "epoch", "state")


def _warning(meaning: str, *fields: str) -> LoggedEvent:
    return LoggedEvent(meaning=meaning, fields=fields, level=LogLevel.WARNING)


def _info(meaning: str, *fields: str) -> LoggedEvent:
    return LoggedEvent(meaning=meaning, fields=fields)


_PROCESS = {
    "cannot_start": LoggedEvent(
        meaning="the process ends because it could not start",
        fields=_FAILURE,
        level=LogLevel.ERROR,
    ),
    "drain_closed": _info(
        "the stopping host refuses new requests", "appends", "in_flight", "unsent"
    ),
    "drain_cut_off": _info(
        "the shutdown's deadline passed; unfinished requests are cut off",
        "appends",
        "in_flight",
        "unsent",
    ),
    "drain_started": _info(
        "the host starts to shut down", "appends", "in_flight", "unsent"
    ),
    "dump": _info("the state, requested by a signal", "state"),
    "fault": _warning(
        "a programming fault; it ended the request, if one is named",
        "error",
        "fired",
        "message",
        "request",
        "traceback",
    ),
    "idle_connections_closed": _info("a stopping host closed idle connections", "n"),
    "log_lines_left_out": _warning(
        "lines before this one were not written", "n", "n_in_all"
    ),
    "reload_refused": _info("the changed settings have faults", "faults"),
    "reloaded": _info("the settings were read again", "changed"),
    "started": _info(
        "the process accepts connections",
        "boot",
        "callers_port",
        "host",
        "peers_address",
        "ready_port",
        "zone",
    ),
    "stopped": _info("the process ends", "after", "appends", "in_flight", "unsent"),
    "stopping": _info("the process received a signal to stop", "in_flight"),
}

_REQUESTS = {
    "cut_off": _info(
        "a request ended unanswered because the process ends",
        "request",
        "arrived_after",
        "sent_after",
        "limit_after",
        "n_sent",
        "n_events",
    ),
    "answered": _info(
        "a request ended",
        "request",
        "route",
        "status",
        "reason",
        "server",
        "n_sent",
        "version",
        "late",
        "ms",
        "model",
        "n_servers",
        "n_waiting",
        *_ROOM,
    ),
    "attempt_failed": _info(
        "an attempt to send a request failed",
        "request",
        "attempt",
        "server",
        "peer",
        "step",
        "reason",
        "message",
        "refused",
        "may_have_run",
        "n_sent",
        "last_event",
        "fingerprint",
    ),
    "attempt_held": _info(
        "a silent attempt is kept open while another one is tried",
        "request",
        "server",
        "reason",
        "n_sent",
        "last_event",
    ),
    "attempt_resumed": _info(
        "an attempt that was held is the request's current one again",
        "request",
        "server",
        "reason",
        "n_sent",
        "last_event",
    ),
    "not_retried": _info(
        "a request is not sent again, with the reason and the seconds it had left",
        "request",
        "reason",
        "n_sent",
        "left",
    ),
    "caller_closed": _info(
        "this host closes a caller's connection before the answer is complete",
        "peer",
        "reason",
    ),
    "caller_left": _info(
        "a caller closed its connection", "request", "phase", "server"
    ),
    "limit_unreadable": _info(
        "the rate limit in a backend server's answer is invalid",
        "server",
        "request",
        "message",
    ),
    "pause_unreadable": _info(
        "the pause that a backend server's refusal asks for is invalid",
        "server",
        "request",
        "message",
    ),
    "server_paused": _info(
        "a backend server refused a request and asked this host for a pause",
        "server",
        "pause",
        "request",
    ),
    "group_still": _info("no request of a group makes progress any more", "server"),
    "stall_received": _info(
        "another entry host sees a group stalled, which is avoided", "server", "peer"
    ),
    "path_lost": _info(
        "only other entry hosts reach a backend server; n servers in all", "server", "n"
    ),
    "path_regained": _info(
        "a backend server answers this host again; n remain out of reach",
        "server",
        "n",
    ),
    "servers_unreached": _info("only other entry hosts reach backend servers", "n"),
    "servers_reached": _info("this host reaches backend servers again", "n"),
    "not_forwarded": _info(
        "another entry host's request or its answer could not be forwarded",
        "server",
        "peer",
        "reason",
    ),
    "crash_noted": _info(
        "a backend server crashed under requests",
        "crash",
        "counted",
        "repeated",
        "proved",
    ),
    "request_in_crash": _info(
        "a request of this host was running when a backend server crashed",
        "crash",
        "fingerprint",
        "parts",
        "n_crashes",
    ),
    "crash_evidence_received": _info(
        "another host reported crashes of a request, or that it completed",
        "peer",
        "fingerprint",
        "crashes",
        "refuted",
    ),
    "part_evidence_received": _info(
        "another host reported crashes under requests with a part of a prompt",
        "peer",
        "part",
        "crashes",
    ),
    "part_cleared": _info(
        "a part isn't suspected any more, since a request with it has completed",
        "part",
        "peer",
    ),
    "part_condemned": _info(
        "requests with a part of a prompt are quarantined",
        "part",
        "n_crashes",
        "after",
    ),
    "suspicion_received": _info(
        "another host reported that a request was in a crash, or that it completed",
        "peer",
        "fingerprint",
        "n_crashes",
        "crash",
        "repeated",
        "proved",
    ),
    "suspect_cleared": _info(
        "all evidence against a request was dropped, for its completion or for the "
        "report of another host",
        "fingerprint",
        "peer",
    ),
    "crash_explained": _info(
        "a crash counts against the named request only, or against all that ran in it",
        "crash",
        "fingerprint",
    ),
    "request_condemned": _info(
        "a request is quarantined", "fingerprint", "n_crashes", "after"
    ),
    "quarantined": _info(
        "a request is not sent, or is withdrawn from its server, because of the "
        "crashes in which it was, or requests with a part of its prompt",
        "request",
        "n_crashes",
        "part",
    ),
    "held": _info(
        "a request begins to wait for a slot at a backend server",
        "request",
        "model",
        "rank",
        "n_ahead",
        "expected_wait",
    ),
    "refused": _info(
        "a request was not accepted", "request", "status", "reason", "version"
    ),
    "request_failed": _info(
        "a request ended with an error", "request", "code", "run_state", *_FAILURE
    ),
    "stream_failed": _info("a stream was cut off", "request", *_FAILURE),
}

_GROUPS = {
    "append_refused": _info("another planner has appended first", "zone", "at", "end"),
    "append_unanswered": _info(
        "the log may or may not have carried out an append", "zone", "at", "status"
    ),
    "group_adopted": _info(
        "the planner took over a group that has no record",
        "group",
        "members",
    ),
    "group_decided": _info("a group is to be formed", *_GROUP, "members"),
    "models_weighed": _info(
        "the demand by which groups are formed or disbanded",
        "zone",
        "demand",
        "n_groups",
    ),
    "servers_shifted": _info(
        "groups of one model are taken apart for a group of another, of a contended "
        "service",
        "zone",
        "service",
        "model",
        "donor",
        "n_moved",
        "utilization",
        "donor_utilization",
    ),
    "servers_idle": _info(
        "number of a zone's servers that serve no requests, by what they wait for",
        "zone",
        "service",
        "n_by_reason",
        "n_serving",
    ),
    "group_phase": _info(
        "the phase of a group has changed", *_GROUP, "phase", "reason", "took"
    ),
    "order_answered": _info(
        "an order was answered", "order", "server", *_GROUP, "outcome"
    ),
    "planner_began": _info("this host starts to plan for a zone", "zone"),
    "planner_ended": _info("this host stops planning for a zone", "zone"),
    "planner_resumed": _info(
        "this host was paused and checks whether another plans for a zone", "zone"
    ),
    "report_unreadable": _warning(
        "a backend server's report is invalid", "server", "message"
    ),
    "lease_given_back": _info("a stopping planner returned its lease"),
    "order_failed": _warning("an order received no answer", "host", "message"),
    "order_refused": _warning("an order was refused", "host", "status"),
    "order_sent": _info(
        "an order was sent", "kind", "host", "group", "fencing", "peer"
    ),
}

_DEPENDENCIES = {
    "append_failed": _warning("an append to the log failed", "stream", "status"),
    "append_given_up": _warning(
        "an append is not retried any more",
        "stream",
        "kind",
        "record",
        "may_be_in_log",
    ),
    "caller_memory_full": _warning(
        "callers' requests and unread answers take too much memory together; that of "
        "the largest is released; at most a line in ten seconds",
        "peer",
        "n",
    ),
    "too_many_connections": _warning(
        "callers have too many connections; one without a request is closed; at most a "
        "line in ten seconds",
        "peer",
        "n",
    ),
    "callers_not_accepted": _warning(
        "waiting connections can't be accepted", "peer", "message"
    ),
    "clock_differs_from_log": _warning(
        "this host's clock differs from the log's", "seconds"
    ),
    "configuration_adopted": _info(
        "a configuration from a peer was adopted", "version", "peer"
    ),
    "configuration_in_force": _info(
        "a newer configuration is in force", "version", "peer"
    ),
    "configuration_unreadable": _warning(
        "a configuration is invalid", "peer", "message"
    ),
    "hosts_list_failed": _warning("the hosts list was not read", "status", "message"),
    "not_fetched": _info(
        "a request to another entry host failed", "what", "peer", "message"
    ),
    "peer_heard": _info("heartbeats arrive from an entry host", "peer"),
    "peer_lost": _info("no more heartbeats arrive from an entry host", "peer"),
    "zone_evacuated": _info(
        "the operator wants no new requests sent to a zone's backend servers", "zone"
    ),
    "zone_used_again": _info("an evacuated zone is used again", "zone"),
    "zone_lost": _info("no heartbeat arrives from another availability zone", "zone"),
    "zone_regained": _info("heartbeats arrive from a lost zone again", "zone"),
    "publishing": _info("an operator publishes", "operator", "record"),
    "read_failed": _warning("a read of the log failed", "stream", "message"),
    "record_ignored": _info(
        "a record has no effect", "stream", "offset", "kind", "reason"
    ),
    "record_unreadable": _warning("a record is invalid", "peer", "step", "why"),
    "records_lost": _warning("records can't be read any more", "stream", "reason"),
    "report_not_counted": _warning(
        "a host's report was not counted", "host", "peer", "message"
    ),
    "server_changed": _info("a backend server's record has changed", *_SERVER),
    "server_found": _info("a backend server is new in the list", *_SERVER),
    "servers_changed": _info(
        "many backend servers have changed at once", "n", "n_by_state"
    ),
    "server_gone": _info("a backend server's record was removed", "server"),
    "server_leaving": _info(
        "a backend server states in an answer that it is leaving",
        "server",
        "request",
        "peer",
    ),
    "server_limited": _info(
        "the rate limit in a backend server's answers has changed",
        "server",
        "rate",
        "request",
    ),
    "server_unreadable": _warning(
        "a backend server's record is invalid", "server", "message"
    ),
    "servers_given": _info(
        "another entry host sent the list of all backend servers", "peer", "n"
    ),
    "servers_unreadable": _warning(
        "the list of backend servers from another entry host is invalid", *_FAILURE
    ),
    "sign_in_failed": _info("a sign-in to the console failed", "peer"),
    "signed_in": _info("an operator signed in", "operator", "peer"),
    "snapshot_restored": _info("a snapshot was read", "stream", "next_offset"),
    "snapshot_written": _info("a snapshot was written", "stream", "as_of", "n_parts"),
    "store_era": _info(
        "the first era of the store, or the era after a restore from an older copy",
        "era",
        "former",
        "peer",
    ),
    "store_lost": _info("the store does not answer any more", "peer", "why"),
    "store_read_failed": _info("an answer of the store is invalid", "topic", *_FAILURE),
    "store_regained": _info("the store answers", "peer", "why"),
    "word_unreadable": _info("a datagram is invalid", "peer", "why"),
}

#: All kinds of log lines, by the name of their event.
EVENTS_BY_NAME: dict[str, LoggedEvent] = _PROCESS | _REQUESTS | _GROUPS | _DEPENDENCIES
