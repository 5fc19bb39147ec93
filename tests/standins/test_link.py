"""Tests of finding the process that owns a connection."""

import os
import socket
import unittest

from standins.link import find_inode, find_owner


class FindOwnerTest(unittest.TestCase):
    def test_same_local_port_to_two_targets(self) -> None:
        """Guards against forwarding bytes of a cut instance, whose writes were then accepted.

        The kernel allows two connections from one local port to two targets. A lookup by the
        port alone found the line of another process, so the link did not drop the bytes.
        """
        targets = [self.listen("127.0.0.1"), self.listen("127.0.0.2")]
        first = self.connect(targets[0], ("127.0.0.1", 0))
        source = first.getsockname()
        second = self.connect(targets[1], source)
        self.assertEqual(second.getsockname(), source)
        for target in targets:
            inode = find_inode(source, target)
            self.assertEqual(find_owner(inode, [os.getpid()]), os.getpid())
            self.assertEqual(find_owner(inode, [1]), 0)
        self.assertNotEqual(find_inode(source, targets[0]), find_inode(source, targets[1]))
        self.assertEqual(find_inode(source, ("127.0.0.3", 9)), "")
        self.assertEqual(find_owner("", [os.getpid()]), 0)

    def test_socket_that_speaks_both_versions_of_ip(self) -> None:
        """Guards against missing a connection through a dual-stack socket to an IPv4 address.

        gRPC opens such sockets, and the kernel lists them in its IPv6 table. A connection that
        is not found has no owner, so its bytes were not dropped and the cut instance continued
        to commit writes.
        """
        target = self.listen("127.0.0.1")
        try:
            connection = self.enterContext(socket.socket(socket.AF_INET6))
            connection.connect((f"::ffff:{target[0]}", target[1]))
        except OSError:
            # A machine without IPv6 cannot open such a socket, so there is nothing to test.
            return
        source = ("127.0.0.1", connection.getsockname()[1])
        inode = find_inode(source, target)
        self.assertEqual(find_owner(inode, [os.getpid()]), os.getpid())

    def listen(self, host: str) -> tuple[str, int]:
        server = self.enterContext(socket.create_server((host, 0)))
        return server.getsockname()

    def connect(self, target: tuple[str, int], source: tuple[str, int]) -> socket.socket:
        connection = self.enterContext(socket.socket())
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        connection.bind(source)
        connection.connect(target)
        return connection


if __name__ == "__main__":
    unittest.main()
