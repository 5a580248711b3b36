"""Ports of local runs that go on side by side."""

from __future__ import annotations

import socket
import unittest

from tools.ports import free_ports


class FreePortsTests(unittest.TestCase):
    """Guards against two processes that are given one port."""

    def test_ports_in_a_row(self) -> None:
        """Guards against a row of ports of which only the first is free."""
        ports = free_ports(20)
        self.assertEqual(list(range(ports[0], ports[0] + 20)), ports)
        for port in ports:
            with socket.socket() as listener:
                listener.bind(('127.0.0.1', port))

    def test_two_runs(self) -> None:
        """Guards against two draws that share a port."""
        drawn = [port for _ in range(60) for port in free_ports(7)]
        self.assertEqual(len(drawn), len(set(drawn)))

    def test_outgoing_connections(self) -> None:
        """Guards against a port that the system gives to a connection."""
        with open('/proc/sys/net/ipv4/ip_local_port_range') as limits:
            first = int(limits.read().split()[0])
        self.assertLess(free_ports(5)[-1], first)
