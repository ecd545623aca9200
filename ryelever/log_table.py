"""Declare the log lines of all processes: their levels, fields and what they say.

A field means the same in every line.  A test holds each call that logs against this
table; docs/OPERATIONS.md shows the lines of hosts that relay, and how to read them.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["EVENTS_BY_NAME", "FIELDS_BY_NAME", "LogLevel", "LoggedEvent"]


class LogLevel(enum.Enum):
    """Name how much a line asks of an operator.

    ``INFO``: a decision, or what the process believes has changed.  ``WARNING``:
    something that should not happen, after which the process goes on.  ``ERROR``: the
    process can't go on.
    """

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(slots=True, kw_only=True, frozen=True)
class LoggedEvent:
    """Declare one kind of line.

    Attributes
    ----------
    fields : tuple of str
        Fields that the line may have, besides ``time``, ``level`` and ``event``.
    """

    says: str
    fields: tuple[str, ...] = ()
    level: LogLevel = LogLevel.INFO


#: What each field holds, with its unit.
FIELDS_BY_NAME: dict[str, str] = {
    "after": "seconds since what the line is about: the signal, the newest evidence",
    "appends": "records that were being appended",
    "as_of": "offset up to which a snapshot holds everything",
    "at": "offset at which the log was expected to end",
    "attempt": "id of one sending of a request",
    "boot": "distinguishes the incarnations of a host",
    "callers_port": "port for callers",
    "changed": "whether the settings differ from those the process runs with",
    "code": "code of the error that the caller got",
    "counted": "fingerprints of requests that a crash counts against",
    "crash": "what crashed: a backend server, with its fencing number if it has one",
    "demand": "work that arrives, in groups kept busy, by model",
    "draining": "whether a backend server has announced its leaving",
    "end": "offset at which the log ends",
    "epoch": "epoch of a group; -1 for none",
    "era": "era of the store, which rises when it comes back from an older copy",
    "error": "class of a programming fault",
    "faults": "what is wrong with the settings, one entry a fault",
    "fencing": "fencing number of an order",
    "former": "era of the store before; 0 for none",
    "fingerprint": "what a request has in common with its repeats",
    "fired": "event whose handler failed",
    "group": "name of a replica group; empty for none",
    "host": "name of a host",
    "in_flight": "requests in flight",
    "kind": "kind of a record or an order",
    "late": "what held a request up beyond its objectives; empty for none",
    "last_event": "id of the last event that the caller got",
    "may_be_in_log": "whether an append may have been carried out nevertheless",
    "may_have_run": "whether a backend server may have run the request",
    "members": "ids of a group's members, the head first",
    "message": "what went wrong, for people",
    "model": "name of a model",
    "ms": "milliseconds since the request arrived",
    "n": "how many",
    "n_by_state": "how many, by state in their group; empty for none",
    "n_crashes": "crashes of backend servers that the request was in, over all hosts",
    "n_groups": "groups that serve or are being formed, by model",
    "n_by_reason": "how many, by phase of their group or models that they can join",
    "n_in_all": "how many since the start",
    "n_parts": "parts of a snapshot",
    "n_sent": "sendings of the request so far",
    "n_serving": "members of groups that serve",
    "n_servers": "backend servers that may take such a request",
    "n_waiting": "requests that wait for a place at this host",
    "next_offset": "offset at which reading goes on",
    "offset": "offset of a record",
    "operator": "name of an operator",
    "order": "what a backend server was told to do, or asked",
    "outcome": "what became of an order",
    "peer": "who is at the other end: an address, or the name of an entry host",
    "peers_address": "where other entry hosts reach this one",
    "phase": "where a request or a group is on its way",
    "ready_port": "port for readiness and metrics",
    "proved": "which of those had got past the place of their first crash",
    "rate": "requests a second that a backend server takes from all hosts; -1: any",
    "reason": "why, as a word that can be counted",
    "record": "a record, as far as it matters",
    "refused": "whether the backend server promised not to have run it",
    "repeated": "whether, or which, requests were suspects before a crash",
    "request": "id that the caller gave its sending of a request",
    "route": "name of the route",
    "run_state": "whether the request was run",
    "seconds": "seconds by which a clock differs",
    "service": "name of a service",
    "server": "id of a backend server; empty for none",
    "state": "state of a group's member, or of the process",
    "status": "HTTP status; 0 for a stream cut off midway, or for no answer",
    "step": "step at which it failed",
    "stream": "stream of the log",
    "took": "seconds from deciding on a group to its serving",
    "topic": "topic of the store",
    "traceback": "end of the traceback",
    "unsent": "bytes that callers had not taken",
    "version": "version of a configuration; -1 for none",
    "what": "what was asked for",
    "why": "what the dependency's last failure was; empty where there was none",
    "zone": "name of an availability zone",
}

_FAILURE = ("message", "peer", "step")
_GROUP = ("group", "epoch", "model")
_SERVER = ("server", "draining", "group", "epoch", "state")


def _warning(says: str, *fields: str) -> LoggedEvent:
    return LoggedEvent(says=says, fields=fields, level=LogLevel.WARNING)


def _info(says: str, *fields: str) -> LoggedEvent:
    return LoggedEvent(says=says, fields=fields)


_PROCESS = {
    "cannot_start": LoggedEvent(
        says="the process ends at its start", fields=_FAILURE, level=LogLevel.ERROR
    ),
    "drain_closed": _info(
        "no connection is open any more", "appends", "in_flight", "unsent"
    ),
    "drain_cut_off": _info(
        "the grace is over with something open", "appends", "in_flight", "unsent"
    ),
    "drain_started": _info("the host is leaving", "appends", "in_flight", "unsent"),
    "dump": _info("the state, as asked for by signal", "state"),
    "fault": _warning(
        "a programming fault in one handler", "error", "fired", "message", "traceback"
    ),
    "idle_connections_closed": _info("a stopping host closed what idled", "n"),
    "log_lines_left_out": _warning(
        "lines before this one were not written", "n", "n_in_all"
    ),
    "reload_refused": _info("the changed settings are wrong", "faults"),
    "reloaded": _info("the settings were read again", "changed"),
    "started": _info(
        "the process listens",
        "boot",
        "callers_port",
        "host",
        "peers_address",
        "ready_port",
        "zone",
    ),
    "stopped": _info("the process ends", "after", "appends", "in_flight", "unsent"),
    "stopping": _info("the process was told to stop", "in_flight"),
}

_REQUESTS = {
    "answered": _info(
        "a request's end",
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
    ),
    "attempt_failed": _info(
        "a sending that came to nothing",
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
    ),
    "caller_left": _info(
        "a caller closed its connection", "request", "phase", "server"
    ),
    "limit_unreadable": _info(
        "the rate limit in a backend server's answer makes no sense",
        "server",
        "request",
        "message",
    ),
    "group_still": _info("nothing moves in a group any more", "server"),
    "crash_noted": _info(
        "a backend server crashed under requests",
        "crash",
        "counted",
        "repeated",
        "proved",
    ),
    "suspicion_received": _info(
        "another host has seen a request in a crash, or complete",
        "peer",
        "fingerprint",
        "n_crashes",
        "crash",
        "repeated",
        "proved",
    ),
    "request_condemned": _info(
        "a request is quarantined", "fingerprint", "n_crashes", "after"
    ),
    "quarantined": _info(
        "a request is not sent for the crashes that it was in", "request", "n_crashes"
    ),
    "refused": _info(
        "a request that was not taken", "request", "status", "reason", "version"
    ),
    "request_failed": _info(
        "a request's end without an answer", "request", "code", "run_state", *_FAILURE
    ),
    "stream_failed": _info("a stream was cut off", "request", *_FAILURE),
}

_GROUPS = {
    "append_refused": _info("another planner has appended first", "zone", "at", "end"),
    "append_unanswered": _info(
        "an append may or may not be carried out", "zone", "at", "status"
    ),
    "group_adopted": _info(
        "a group without a record was taken over", "group", "members"
    ),
    "group_decided": _info("a group is to be formed", *_GROUP, "members"),
    "models_weighed": _info(
        "what groups are formed or taken apart by", "zone", "demand", "n_groups"
    ),
    "servers_idle": _info(
        "how many servers of a zone serve nobody, by what they wait for",
        "zone",
        "service",
        "n_by_reason",
        "n_serving",
    ),
    "group_phase": _info(
        "what is done with a group has changed", *_GROUP, "phase", "reason", "took"
    ),
    "order_answered": _info(
        "what became of an order", "order", "server", *_GROUP, "outcome"
    ),
    "planner_began": _info("this host plans for a zone", "zone"),
    "planner_ended": _info("this host plans for a zone no more", "zone"),
    "report_unreadable": _warning(
        "a backend server's report makes no sense", "server", "message"
    ),
    "lease_given_back": _info("a stopping planner gave its lease back"),
    "order_failed": _warning("an order got no answer", "host", "message"),
    "order_refused": _warning("an order was refused", "host", "status"),
    "order_sent": _info("an order left", "kind", "host", "group", "fencing", "peer"),
}

_DEPENDENCIES = {
    "append_failed": _warning("an append to the log failed", "stream", "status"),
    "append_given_up": _warning(
        "an append is made no more", "stream", "kind", "record", "may_be_in_log"
    ),
    "callers_not_accepted": _warning(
        "connections wait that can't be accepted", "peer", "message"
    ),
    "clock_differs_from_log": _warning("this host's clock is off", "seconds"),
    "configuration_adopted": _info("a peer gave a configuration", "version", "peer"),
    "configuration_in_force": _info(
        "a newer configuration is in force", "version", "peer"
    ),
    "configuration_unreadable": _warning(
        "a configuration makes no sense", "peer", "message"
    ),
    "hosts_list_failed": _warning("the hosts list was not read", "status", "message"),
    "not_fetched": _info(
        "another entry host did not give it", "what", "peer", "message"
    ),
    "peer_heard": _info("an entry host is heard", "peer"),
    "peer_lost": _info("an entry host is heard no more", "peer"),
    "zone_evacuated": _info(
        "the operator asks that a zone's backend servers get nothing new", "zone"
    ),
    "zone_used_again": _info("an evacuated zone is used again", "zone"),
    "zone_lost": _info("no word comes for another availability zone", "zone"),
    "zone_regained": _info("words come for it again", "zone"),
    "publishing": _info("an operator publishes", "operator", "record"),
    "read_failed": _warning("a read of the log failed", "stream", "message"),
    "record_ignored": _info(
        "a record has no effect", "stream", "offset", "kind", "reason"
    ),
    "record_unreadable": _warning("a record makes no sense", "peer", "step", "why"),
    "records_lost": _warning("records can't be read any more", "stream", "reason"),
    "report_not_counted": _warning(
        "a host's report was not counted", "host", "peer", "message"
    ),
    "server_changed": _info("a backend server's entry has changed", *_SERVER),
    "server_found": _info("a backend server is new in the list", *_SERVER),
    "servers_changed": _info(
        "many backend servers have changed at once", "n", "n_by_state"
    ),
    "server_gone": _info("a backend server's entry is gone", "server"),
    "server_limited": _info(
        "the rate limit that a backend server's answer names has changed",
        "server",
        "rate",
        "request",
    ),
    "server_unreadable": _warning(
        "a backend server's entry makes no sense", "server", "message"
    ),
    "servers_given": _info("another entry host gave all backend servers", "peer", "n"),
    "servers_unreadable": _warning("what it gave makes no sense", *_FAILURE),
    "sign_in_failed": _info("somebody could not sign in", "peer"),
    "signed_in": _info("an operator signed in", "operator", "peer"),
    "snapshot_restored": _info("a snapshot was read", "stream", "next_offset"),
    "snapshot_written": _info("a snapshot was written", "stream", "as_of", "n_parts"),
    "store_era": _info(
        "the first era of the store, or a later one: it came back from an older copy",
        "era",
        "former",
        "peer",
    ),
    "store_lost": _info("the store answers no more", "peer", "why"),
    "store_read_failed": _info(
        "an answer of the store makes no sense", "topic", *_FAILURE
    ),
    "store_regained": _info("the store answers", "peer", "why"),
    "word_unreadable": _info("a datagram makes no sense", "peer", "why"),
}

#: All kinds of lines.
EVENTS_BY_NAME: dict[str, LoggedEvent] = _PROCESS | _REQUESTS | _GROUPS | _DEPENDENCIES
