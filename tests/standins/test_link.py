"""Which process a connection belongs to, where ports alone are not enough."""

import os
import socket
import unittest

from standins.link import find_inode, find_owner


class FindOwnerTest(unittest.TestCase):
    def test_same_local_port_to_two_targets(self) -> None:
        """A cut instance went on committing: its writes were accepted behind the cut.

        Two connections leave from one local port to two targets, which the kernel allows.
        Looked up by the port alone, the first line of its table named another process, so
        bytes of the cut instance went through.
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
        """The cut instance's gRPC connects through a socket of IPv6 to an IPv4 address.

        Such a connection stands in another table of the kernel. Not found, it had no
        owner, so nothing of it was cut, and the instance went on committing.
        """
        target = self.listen("127.0.0.1")
        try:
            connection = self.enterContext(socket.socket(socket.AF_INET6))
            connection.connect((f"::ffff:{target[0]}", target[1]))
        except OSError:
            # A machine without IPv6 opens no such sockets, so there is nothing to find.
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
