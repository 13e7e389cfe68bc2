"""Check and split the addresses of processes, like ``192.0.2.7:8080``."""

import ipaddress
import re

__all__ = ["check_address", "split_address"]

PORT_PATTERN = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of an address like ``192.0.2.7:8080``.

    The host is an IPv4 address: names would need look-ups, which take
    arbitrarily long. Raises ``ValueError``.
    """
    host, _, port = address.rpartition(":")
    if not PORT_PATTERN.fullmatch(port) or int(port) > MAX_PORT:
        raise ValueError(f"{address[:40]!r} has no port up to {MAX_PORT}")
    return str(ipaddress.IPv4Address(host)), int(port)


def check_address(address: str) -> str:
    """Return an address as it is; raise ``ValueError`` if it is none."""
    split_address(address)
    return address
