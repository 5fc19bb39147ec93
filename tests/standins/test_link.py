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
