"""Keys under which operators ask for the evacuation of a data centre.

The value of such a key holds nothing; the request is in force while the key
exists.

    >>> evacuated_data_centre('op/evacuate/ruse')
    'ruse'
"""

from __future__ import annotations

from marjoramwharf.ids import DataCentreId

EVACUATIONS_PREFIX = 'op/evacuate/'


def evacuated_data_centre(key: str) -> DataCentreId | None:
    """Return the data centre that a key names, ``None`` for other keys."""
    if not key.startswith(EVACUATIONS_PREFIX):
        return None
    return DataCentreId(key.removeprefix(EVACUATIONS_PREFIX)) or None
