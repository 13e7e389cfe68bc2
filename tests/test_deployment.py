"""Template of an entry's settings on the users' platform."""

from pathlib import Path
import re

from hickorywing.settings import PoolEntrySettings
from hickorywing.settings import read_settings

TEMPLATE = Path(__file__).parent.parent / "deploy" / "entry.jsonc"
# The interval of the load balancer's probes, and the number of failed probes
# after which it sends an entry no more requests.
PROBE_INTERVAL_S = 1.0
MAX_FAILED_PROBES = 2
# The platform kills a stopping process after 6 s, and callers wait for 3 s.
GRACE_PERIOD_S = 6.0
MAX_REQUEST_S = 3.0
# Values of the template's placeholders that are not numbers.
PLACEHOLDER_VALUES = {
    "ip": "127.0.0.1",
    "listen.front": "127.0.0.1:1001",
    "listen.ready": "127.0.0.1:1002",
    "platform.address": "127.0.0.1:1003",
    "port-range.0": "1004",
}


def fill_template(path: Path) -> PoolEntrySettings:
    """Return the settings of the template, with 1 for other placeholders."""
    text = re.sub(
        r"\{\{([^}]*)\}\}",
        lambda match: PLACEHOLDER_VALUES.get(match[1], "1"),
        TEMPLATE.read_text(),
    )
    path.write_text(text)
    return read_settings(path, PoolEntrySettings)


class TestEntryTemplate:
    """A stopping entry serves until the load balancer leaves it out."""

    def test_drain_notice_outlasts_probes(self, tmp_path):
        notice_s = fill_template(tmp_path / "e.jsonc").drain_notice_s
        assert notice_s > MAX_FAILED_PROBES * PROBE_INTERVAL_S
        assert notice_s + MAX_REQUEST_S < GRACE_PERIOD_S
