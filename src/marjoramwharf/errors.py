"""Exceptions of the scheduler.

Every exception class has a :class:`Reason`, the machine-readable code that
callers, logs and metrics use. The message is for people.

    >>> StoreUnavailable(message='no answer within 500 ms').reason
    <Reason.STORE_UNAVAILABLE: 'store_unavailable'>
"""

from __future__ import annotations

import enum
from typing import ClassVar


@enum.unique
class Reason(enum.Enum):
    """Code for why an operation failed or a request was not run."""

    BAD_REQUEST = 'bad_request'
    UNAUTHORIZED = 'unauthorized'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_JOB = 'unknown_job'
    UNKNOWN_KEY = 'unknown_key'
    KEY_REUSED = 'key_reused'
    NOTE_CONFLICT = 'note_conflict'
    BODY_TOO_LARGE = 'body_too_large'
    TEAM_LIMIT = 'team_limit'
    QUEUE_FULL = 'queue_full'
    NO_CAPACITY = 'no_capacity'
    DEADLINE = 'deadline'
    STORE_UNAVAILABLE = 'store_unavailable'
    STORE_ANSWER_LOST = 'store_answer_lost'
    STORE_BUDGET = 'store_budget'
    STORE_REFUSED = 'store_refused'
    JOB_CHANGED = 'job_changed'
    TOMBSTONE_LIMIT = 'tombstone_limit'
    HISTORY_LOST = 'history_lost'
    LEASE_ENDED = 'lease_ended'
    ADVICE_UNAVAILABLE = 'advice_unavailable'
    ENTRY_REPLACED = 'entry_replaced'
    DIRECTORY_UNAVAILABLE = 'directory_unavailable'
    BAD_LISTING = 'bad_listing'
    WORKER_REFUSED = 'worker_refused'
    WORKER_UNREACHABLE = 'worker_unreachable'
    WORKER_RESTARTED = 'worker_restarted'
    ANSWER_CUT = 'answer_cut'
    ANSWER_CROSSED = 'answer_crossed'
    PEER_UNREACHABLE = 'peer_unreachable'
    PEER_REFUSED = 'peer_refused'
    NOT_OWNER = 'not_owner'
    SHUTTING_DOWN = 'shutting_down'
    CANCELLED = 'cancelled'
    BAD_SETTINGS = 'bad_settings'
    BAD_FRAME = 'bad_frame'
    ENTRY_UNREACHABLE = 'entry_unreachable'
    NEVER_FITS = 'never_fits'
    WORKER_FAILING = 'worker_failing'
    JOURNAL_DAMAGED = 'journal_damaged'


class Failure(Exception):
    """Base class of the exceptions that the scheduler raises.

    ``retry_after_s`` is the number of seconds after which a retry may succeed,
    or ``None`` if a retry does not help.
    """

    reason: ClassVar[Reason]

    def __init__(
        self,
        *,
        message: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Create an exception with a message and an optional retry hint."""
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s


class BadSettings(Failure):
    """A settings file is missing, malformed or has a value out of range."""

    reason = Reason.BAD_SETTINGS


class StoreUnavailable(Failure):
    """The store rejected a call or was not reached; nothing was applied."""

    reason = Reason.STORE_UNAVAILABLE


class StoreRefused(StoreUnavailable):
    """The store answered and refused the call; nothing was applied.

    The store is up, and would refuse the same call again.
    """

    reason = Reason.STORE_REFUSED


class JobChanged(Failure):
    """A job was stored or removed while a call was made that depends on it.

    Nothing was applied; the same call may succeed if it is made again.
    """

    reason = Reason.JOB_CHANGED


class TooManyTombstones(Failure):
    """An entry has stored the cancellations of too many unknown jobs lately.

    Nothing was stored; ``retry_after_s`` tells when the next one may be.
    """

    reason = Reason.TOMBSTONE_LIMIT


class StoreAnswerLost(Failure):
    """The answer to a write was lost; the write may have been applied.

    The caller determines the outcome by reading the key back.
    """

    reason = Reason.STORE_ANSWER_LOST


class HistoryLost(Failure):
    """The store no longer has the changes after the requested revision."""

    reason = Reason.HISTORY_LOST


class LeaseEnded(Failure):
    """The lease of a write has expired; nothing was applied."""

    reason = Reason.LEASE_ENDED


class AdviceUnavailable(Failure):
    """The advice service did not return the workers that may run a step."""

    reason = Reason.ADVICE_UNAVAILABLE


class StoreBudgetSpent(Failure):
    """The call was shed to stay within the rate limits of the store."""

    reason = Reason.STORE_BUDGET


class EntryReplaced(Failure):
    """Another process registered under the id of this entry."""

    reason = Reason.ENTRY_REPLACED


class DirectoryUnavailable(Failure):
    """The platform's list of instances could not be read."""

    reason = Reason.DIRECTORY_UNAVAILABLE


class BadListing(Failure):
    """The platform's list of instances has malformed content."""

    reason = Reason.BAD_LISTING


class WorkerUnreachable(Failure):
    """A worker's agent did not answer, so its state is unknown."""

    reason = Reason.WORKER_UNREACHABLE


class PeerUnreachable(Failure):
    """A peer entry did not answer in time, or the connection was lost."""

    reason = Reason.PEER_UNREACHABLE


class PeerRefused(Failure):
    """A peer answered a request with a refusal."""

    reason = Reason.PEER_REFUSED


class BadFrame(Failure):
    """A frame between entries was malformed or too large."""

    reason = Reason.BAD_FRAME


class NotOwner(Failure):
    """This entry does not own the shard that the operation needs."""

    reason = Reason.NOT_OWNER


class BadNote(Failure):
    """A release note is malformed or does not fit the configuration."""

    reason = Reason.BAD_REQUEST


class EntryUnreachable(Failure):
    """An entry did not answer a command line program."""

    reason = Reason.ENTRY_UNREACHABLE


class JournalDamaged(Failure):
    """The log of a job shard has a gap or an undecodable entry."""

    reason = Reason.JOURNAL_DAMAGED


class KeyReused(Failure):
    """An idempotency key was used before for a different request."""

    reason = Reason.KEY_REUSED


class BadJob(Failure):
    """A submitted job is malformed."""

    reason = Reason.BAD_REQUEST


class UnknownJob(Failure):
    """No job has this id, or it was removed after its retention time."""

    reason = Reason.UNKNOWN_JOB
