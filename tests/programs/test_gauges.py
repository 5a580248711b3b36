"""The metrics of an entry and the page that explains them."""

from __future__ import annotations

import pathlib
import re
import unittest

import httpx
import msgspec
import trio

from marjoramwharf.links.directory import DirectoryClient
from marjoramwharf.links.resilient_store import ResilientStore
from marjoramwharf.links.store import Urgency
from marjoramwharf.programs._entry_parts import Entry
from marjoramwharf.settings import EntrySettings
from standins.memory_store import MemoryStore

_ALERTS = pathlib.Path(__file__).parents[2] / 'docs' / 'alerts.md'
_SETTINGS = msgspec.convert(
    {
        'entry_id': 'entry-1',
        'region': 'ar-centro',
        'data_centre': 'dc-1',
        'listen': {'host': '127.0.0.1', 'http_port': 8001, 'peer_port': 9001},
        'store': {'url': 'http://127.0.0.1:2379'},
        'directory': {'url': 'http://127.0.0.1:2380'},
        'topology': {
            'data_centres': [{'data_centre': 'dc-1', 'region': 'ar-centro'}],
        },
        'peer_secret': 'a-secret-of-16-bytes',
        'operator_token': 'a-token-of-16-bytes',
    },
    EntrySettings,
)


class GaugesTests(unittest.TestCase):
    """Guards against stale metrics and alerts on unknown metrics."""

    def test_scrape_reads_present_values(self) -> None:
        """Guards against a scrape that returns the values of an earlier one."""
        first, second = trio.run(_scrape_twice)
        calls = 'marjoramwharf_store_calls_total{kind="reads"}'
        self.assertIn(f'{calls} 0', first)
        self.assertIn(f'{calls} 1', second)
        self.assertIn(
            'marjoramwharf_store_health_state{state="healthy"} 1',
            second,
        )
        self.assertIn('marjoramwharf_permits_in_doubt_count 0', second)

    def test_alerts_name_existing_metrics(self) -> None:
        """Guards against alerts on missing metrics and unexplained metrics."""
        shown = trio.run(_scrape_twice)[1]
        exported = set(re.findall(r'# TYPE (\w+)', shown))
        page = _ALERTS.read_text(encoding='utf-8')
        named = set(re.findall(r'marjoramwharf_\w+', page))
        self.assertLessEqual(named, exported)
        self.assertLessEqual(exported, named)


async def _scrape_twice() -> tuple[str, str]:
    store = ResilientStore(MemoryStore(), _SETTINGS.store)
    async with httpx.AsyncClient() as http:
        entry = Entry(_SETTINGS, store, DirectoryClient(http))
        client = entry.app().test_client()
        first = await (await client.get('/metrics')).get_data(as_text=True)
        await store.read('/a', urgency=Urgency.STATUS)
        second = await (await client.get('/metrics')).get_data(as_text=True)
    return first, second
