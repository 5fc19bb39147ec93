"""How old a router takes the views of replicas to be, by a clock that counts suspensions."""

import unittest

from chivetrack.components.distribution.messages import View
from tests.components.distribution.world import Fixture

POLLED_AT = 10.0
FROZEN_S = 50.0


class ViewAgeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fixture = Fixture(boot_now=POLLED_AT)

    def poll(self) -> View:
        """Return the answer of the replica to one poll of the router."""
        follow = self.fixture.follow(0.0)
        (answer,) = self.fixture.publisher.handle_follow(follow, now=0.0)
        assert isinstance(answer.message, View)
        return answer.message

    def receive(self, view: View) -> float:
        """Deliver a view, and return the time that the newest view is not older than."""
        self.fixture.subscriber.handle_view("p1", view, now=0.0)
        return self.fixture.subscriber.viewed_at

    def test_view_is_as_old_as_its_poll(self) -> None:
        """Guards against a view from before a freeze that looks new when the router wakes."""
        view = self.poll()
        self.fixture.boot_now += FROZEN_S
        self.assertEqual(self.receive(view), POLLED_AT)

    def test_pushed_view_proves_no_age(self) -> None:
        """Guards against the same for a view that answers no poll."""
        self.assertEqual(self.receive(self.poll()), POLLED_AT)
        self.fixture.put(2)
        (push,) = self.fixture.publisher.publish(now=0.1)
        assert isinstance(push.message, View)
        self.fixture.boot_now += FROZEN_S
        self.assertEqual(self.receive(push.message), POLLED_AT)

    def test_view_of_an_earlier_process_at_the_address_proves_no_age(self) -> None:
        view = self.poll()
        self.fixture = Fixture(boot_now=POLLED_AT + FROZEN_S)
        self.assertEqual(self.receive(view), float("-inf"))


if __name__ == "__main__":
    unittest.main()
