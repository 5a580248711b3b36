"""What a refused write of a cell's owner tells."""

from __future__ import annotations

from marjoramwharf.errors import NotOwner
from marjoramwharf.links.store import Conflict, Guard, StoredValue


def found_by_owner(
    conflict: Conflict, ownership_guard: Guard
) -> dict[str, StoredValue]:
    """Return the values that a refused write was conditional on, by key.

    Raises ``NotOwner`` if the owner's record is not the guarded one any more.
    """
    found = {stored.key: stored for stored in conflict.found}
    record = found.get(ownership_guard.key)
    if record is None or record.mod_revision != ownership_guard.mod_revision:
        raise NotOwner(message=f'{ownership_guard.key} has another owner')
    return found
