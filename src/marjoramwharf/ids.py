"""Identifier types of the scheduler.

Each kind of identifier is a distinct type, so that the type checker rejects a
worker id where an entry id is expected.
"""

from __future__ import annotations

import os
from typing import NewType

WorkerId = NewType('WorkerId', str)
EntryId = NewType('EntryId', str)
RackId = NewType('RackId', str)
DataCentreId = NewType('DataCentreId', str)
RegionId = NewType('RegionId', str)
TeamId = NewType('TeamId', str)
ServiceId = NewType('ServiceId', str)
JobId = NewType('JobId', str)
TaskId = NewType('TaskId', str)
CallId = NewType('CallId', str)
GrantId = NewType('GrantId', str)
LeaseId = NewType('LeaseId', int)
ShardId = NewType('ShardId', int)

# Differs for every start of a process, so that a restarted entry or worker is
# not mistaken for its predecessor.
Incarnation = NewType('Incarnation', str)

# Increases with every change of a shard's owner. A worker refuses lower ones.
Epoch = NewType('Epoch', int)

# Number of an accepted release note; it only increases.
NoteRevision = NewType('NoteRevision', int)

_RANDOM_ID_BYTES = 9


def random_id() -> str:
    """Return a random identifier of 18 hexadecimal digits (72 bits)."""
    return os.urandom(_RANDOM_ID_BYTES).hex()
