"""Log: the catalogue of numbered events, and the formats of log lines."""

from __future__ import annotations

import json
import logging
import sys
import traceback

from attrs import frozen

from gentianworks.limits import LogSettings
from gentianworks.telemetry.log_writer import BoundedHandler

NO_REMEDY = "No action is needed."


@frozen
class CatalogueEntry:
    """Numbered log event, with its remedy for operators."""

    code: str
    text: str
    remedy: str = NO_REMEDY

    @property
    def level(self) -> int:
        """Return INFO for an event that needs no action, and WARNING otherwise."""
        return logging.INFO if self.remedy == NO_REMEDY else logging.WARNING


CATALOGUE = {
    entry.code: entry
    for entry in (
        CatalogueEntry("GW1001", "The process has started."),
        CatalogueEntry("GW1002", "The process is stopping gracefully."),
        CatalogueEntry("GW1003", "A configuration has taken effect."),
        CatalogueEntry(
            "GW1004",
            "A message from another process was rejected.",
            "Use the same key file and version for all processes.",
        ),
        CatalogueEntry(
            "GW1006",
            "An unrecoverable error occurred; the process exits immediately.",
            "Let the service manager restart it; report the traceback.",
        ),
        CatalogueEntry(
            "GW1007",
            "A call or a response failed unexpectedly; the process continues.",
            "Report the traceback.",
        ),
        CatalogueEntry(
            "GW1008",
            "A message could not be sent to another process.",
            "Check the peer_address and the limit on open files.",
        ),
        CatalogueEntry("GW1009", "A reload of the settings was requested."),
        CatalogueEntry(
            "GW1010",
            "The settings of the platform are invalid.",
            "Follow the remedy in the details.",
        ),
        CatalogueEntry(
            "GW1011",
            "An effect failed, and only what it concerned; the process continues.",
            "Report the traceback.",
        ),
        CatalogueEntry("GW1012", "The settings name other seeds."),
        CatalogueEntry(
            "GW1013",
            "The changed settings are invalid; the former seeds stay in use.",
            "Follow the remedy in the details.",
        ),
        CatalogueEntry("GW2001", "This control host has become the leader."),
        CatalogueEntry("GW2002", "This control host is no longer the leader."),
        CatalogueEntry("GW2003", "The members of the control group have changed."),
        CatalogueEntry("GW2004", "A snapshot from the leader has been installed."),
        CatalogueEntry(
            "GW2005",
            "The leader has lost contact with a quorum of the control hosts.",
            "Start a majority of the control hosts or repair the network.",
        ),
        CatalogueEntry(
            "GW2006",
            "This control host is waiting for the others to form the group.",
            "Start all of them with empty data folders and the same peer_addresses.",
        ),
        CatalogueEntry(
            "GW2007",
            "This control host receives no heartbeats from a leader.",
            "Start a majority of the control hosts or repair the network.",
        ),
        CatalogueEntry(
            "GW2010",
            "The journal could not be written; the process stops.",
            "Free up space or replace the disk, then restart the process.",
        ),
        CatalogueEntry(
            "GW2013",
            "The disk is full; no writes are acknowledged until space is free.",
            "Free up space in the file system of the data folder.",
        ),
        CatalogueEntry("GW2014", "The disk has free space again."),
        CatalogueEntry("GW2015", "The log of this control host has been loaded."),
        CatalogueEntry(
            "GW2016",
            "The control group has too few voters for the losses it is to tolerate.",
            "Run control on more hosts with a disk: twice those losses and one.",
        ),
        CatalogueEntry(
            "GW2011",
            "A snapshot from another control host could not be read.",
            "Run the same version of gentianworks on all control hosts.",
        ),
        CatalogueEntry(
            "GW2012",
            "The data folder is unusable.",
            "Follow the remedy in the details.",
        ),
        CatalogueEntry(
            "GW3001", "The outcome of a non-repeatable request is recorded."
        ),
        CatalogueEntry(
            "GW3002",
            "The engine was lost while it ran a request.",
            "Check the engine's log; a request that causes this twice is quarantined.",
        ),
        CatalogueEntry(
            "GW3003",
            "A request that has crashed two engines is quarantined.",
            "Have the request corrected, or release it once the engines are fixed.",
        ),
        CatalogueEntry("GW3004", "The engine has answered an order."),
        CatalogueEntry(
            "GW3005",
            "What several crashed replicas had in common is quarantined.",
            "Have calls with this fingerprint corrected, or fix the replicas.",
        ),
        CatalogueEntry(
            "GW3006", "A quarantined fingerprint was served and is released."
        ),
        CatalogueEntry("GW6001", "An operator's change was accepted."),
        CatalogueEntry(
            "GW6002",
            "An operator's change was rejected.",
            "The operator has received the reason; the audit trail records it.",
        ),
        CatalogueEntry("GW6004", "An order to evacuate or reopen a zone took effect."),
        CatalogueEntry(
            "GW6003",
            "A request without a valid operator token was rejected.",
            "If it came from an operator, check its token file against the settings.",
        ),
        CatalogueEntry(
            "GW1005",
            "The key that all processes share could not be read.",
            "Correct the file that the details name and restart the process.",
        ),
        CatalogueEntry(
            "GW5001",
            "An endpoint was lost while an attempt was being sent to it or running.",
            "Check the log of the endpoint's agent and the endpoint's host.",
        ),
        CatalogueEntry(
            "GW5002", "A request is repeated or resumed after a failed attempt."
        ),
        CatalogueEntry(
            "GW5003",
            "An endpoint became live, lost, leaving or held.",
            "If it is lost or held unexpectedly, check its host.",
        ),
        CatalogueEntry(
            "GW5004",
            "The platform's list of hosts could not be read.",
            "Check the address in [platform] and that the platform responds.",
        ),
        CatalogueEntry(
            "GW5005",
            "This agent's endpoint isn't declared with the agent's peer_address.",
            "Declare it there or stop this agent; run one agent per endpoint.",
        ),
        CatalogueEntry(
            "GW5101",
            "A call failed at a replica; it is retried or rejected.",
            "Check the replica that the details name if it fails often.",
        ),
        CatalogueEntry(
            "GW5107",
            "A call was rejected or aborted; the details give the cause.",
            "Trace its id through the logs as described in docs/OPERATIONS.md.",
        ),
        CatalogueEntry("GW5108", "A replica's answer was relayed to its end."),
        CatalogueEntry(
            "GW5109", "A caller disconnected before its response was complete."
        ),
        CatalogueEntry(
            "GW5110", "A replica has not responded for some time and is skipped."
        ),
        CatalogueEntry(
            "GW5111", "A call was rejected before it was matched to a route."
        ),
        CatalogueEntry("GW5112", "A call is waiting for the first route table."),
        CatalogueEntry("GW5102", "The list of replicas has a new or changed entry."),
        CatalogueEntry("GW5103", "A replica was removed from the list."),
        CatalogueEntry(
            "GW5117",
            "A replica sent bytes that are no proper answer to its call.",
            "Check the replica that the details name; it is used last for a while.",
        ),
        CatalogueEntry(
            "GW5118",
            "A replica answered a call that was not waiting on the connection.",
            "Check the replica that the details name if it occurs often.",
        ),
        CatalogueEntry(
            "GW5119",
            "A replica went away with calls whose answers had not begun.",
            "Check the replica's log; GW3005 names what repeatedly causes this.",
        ),
        CatalogueEntry("GW5120", "A quarantined call is sent once, as a trial."),
        CatalogueEntry("GW5121", "A replica that lost calls could not be checked."),
        CatalogueEntry(
            "GW5122",
            "A replica names or changes a limit of its requests.",
            "Find out why the replica is short of capacity, or add replicas.",
        ),
        CatalogueEntry("GW5123", "A replica no longer limits its requests."),
        CatalogueEntry(
            "GW5124",
            "A replica names a limit of its requests that can't be read.",
            "Correct the replica that the details name; it counts as without a limit.",
        ),
        CatalogueEntry(
            "GW5125",
            "A call could not be sent, for a reason that no replica is to blame for.",
            "Correct the header or the workspace name that the details name.",
        ),
        CatalogueEntry(
            "GW5130", "The evacuated availability zones are in force on this router."
        ),
        CatalogueEntry(
            "GW5131",
            "A reopened availability zone gets calls without a newer list.",
            "Check that a control host leads and reaches the platform.",
        ),
        CatalogueEntry(
            "GW5140",
            "A replica fails more calls than others; routers avoid it for a while.",
            "Check the replica's log; its health check may still pass.",
        ),
        CatalogueEntry("GW5141", "This router avoids replicas that fail calls."),
        CatalogueEntry(
            "GW5135",
            "A replica is cold and gets only the shares lent of its cold rate.",
        ),
        CatalogueEntry(
            "GW5136", "A replica is warm again; its subjects return to it stepwise."
        ),
        CatalogueEntry(
            "GW5145", "A request was refused, since requests use too much memory."
        ),
        CatalogueEntry("GW5146", "A request with too large a body was refused."),
        CatalogueEntry("GW5147", "A request that arrived too slowly was ended."),
        CatalogueEntry("GW5148", "A connection was refused, since there are too many."),
        CatalogueEntry(
            "GW5149", "An idle connection was closed, since there are too many."
        ),
        CatalogueEntry("GW5113", "A leader's list of replicas has taken effect."),
        CatalogueEntry(
            "GW5114",
            "This router fetches the list of replicas; no leader sends a current one.",
            "Check that a control host leads and reaches the platform.",
        ),
        CatalogueEntry(
            "GW5115", "A current list of replicas arrives from a leader again."
        ),
        CatalogueEntry(
            "GW5116", "This control host has fetched a changed list of replicas."
        ),
        CatalogueEntry("GW5104", "The list of replicas contains invalid entries."),
        CatalogueEntry(
            "GW5105",
            "The list of replicas is unavailable; the last one stays in use.",
            "Check that the platform responds.",
        ),
        CatalogueEntry(
            "GW5106",
            "The accepted route table could not be read.",
            "Run the same version of gentianworks on all hosts.",
        ),
        CatalogueEntry("GW4001", "An attempt was pre-empted by a more urgent one."),
        CatalogueEntry(
            "GW4002",
            "An attempt was suspended because the load bound was lowered.",
        ),
        CatalogueEntry(
            "GW4003",
            "The engine is running a call that the agent does not track.",
            "None after an agent restart; otherwise find the engine's other client.",
        ),
        CatalogueEntry("GW4004", "The endpoint has started to drain."),
        CatalogueEntry(
            "GW4005",
            "Cached prompts were moved to the endpoints next in placement order.",
        ),
        CatalogueEntry(
            "GW4006",
            "A copy of a suspect request was suspended until it can run alone.",
        ),
    )
}


class TextFormatter(logging.Formatter):
    """Formatter that writes each log event as a line of text."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line for a log event."""
        details = getattr(record, "details", ())
        words = " ".join(f"{name}={value}" for name, value in details)
        time = self.formatTime(record)
        line = f"{time} {record.levelname} {format_event(record)} {words}".rstrip()
        trace = format_traceback(record)
        return f"{line}\n{trace}" if trace else line


class JsonFormatter(logging.Formatter):
    """Formatter that writes each log event as a JSON document on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one JSON document for a log event."""
        document = {
            "time": record.created,
            "level": record.levelname,
            "event": record.getMessage(),
            "text": format_event(record),
            **dict(getattr(record, "details", ())),
        }
        trace = format_traceback(record)
        if trace:
            document["traceback"] = trace
        return json.dumps(document)


def format_event(record: logging.LogRecord) -> str:
    """Return the code and text of a log event."""
    message = record.getMessage()
    entry = CATALOGUE.get(message)
    return f"{entry.code} {entry.text}" if entry else message


def format_traceback(record: logging.LogRecord) -> str:
    """Return the traceback of a log event, or an empty string."""
    if not record.exc_info or record.exc_info[0] is None:
        return ""
    return "".join(traceback.format_exception(*record.exc_info)).rstrip()


def get_level(code: str) -> int:
    """Return the level of an event code; an unknown code is a warning."""
    entry = CATALOGUE.get(code)
    return entry.level if entry else logging.WARNING


def configure_logging(settings: LogSettings, is_standard_output: bool = False) -> None:
    """Send the log to standard error in the configured format.

    On standard output the number of lines is bounded, and a slow reader doesn't block
    the process.
    """
    handler: logging.Handler = logging.StreamHandler()
    if is_standard_output:
        handler = BoundedHandler(sys.stdout.fileno())
    is_json = settings.format == "json"
    handler.setFormatter(JsonFormatter() if is_json else TextFormatter())
    logging.basicConfig(level=settings.level, handlers=[handler], force=True)
    logging.getLogger("uvicorn").setLevel(logging.ERROR)
