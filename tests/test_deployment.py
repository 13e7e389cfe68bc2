"""The templates of the settings on the users' platform."""

from pathlib import Path
import re

from hickorywing.settings import PoolEntrySettings
from hickorywing.settings import read_settings

TEMPLATE = Path(__file__).parent.parent / "deploy" / "entry.jsonc"
# The balancer's probes, and how many misses take an entry out.
PROBE_EVERY_S = 1.0
MISSES = 2
# The platform kills a stopping process after 6 s, and callers wait for 3 s.
GRACE_S = 6.0
LONGEST_REQUEST_S = 3.0
# What a place of the template holds that is not a number.
VALUES = {
    "ip": "127.0.0.1",
    "listen.front": "127.0.0.1:1001",
    "listen.ready": "127.0.0.1:1002",
    "platform.address": "127.0.0.1:1003",
    "port-range.0": "1004",
}


def fill_template(path: Path) -> PoolEntrySettings:
    """Return the settings of a template with a 1 in each place."""
    text = re.sub(
        r"\{\{([^}]*)\}\}",
        lambda place: VALUES.get(place[1], "1"),
        TEMPLATE.read_text(),
    )
    path.write_text(text)
    return read_settings(path, PoolEntrySettings)


class TestEntryTemplate:
    """A stopping entry serves until nobody is sent to it any more."""

    def test_notice_outlasts_the_balancer(self, tmp_path):
        notice_s = fill_template(tmp_path / "e.jsonc").drain_notice_s
        assert notice_s > MISSES * PROBE_EVERY_S
        assert notice_s + LONGEST_REQUEST_S < GRACE_S
