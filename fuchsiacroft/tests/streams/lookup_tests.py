"""Tests of what replies tell together of a stream's origin."""

import itertools

from expression import Error, Ok

from fuchsiacroft.streams.lookup import Lookup, OriginError
from fuchsiacroft.streams.messages import OriginReply
from fuchsiacroft.streams.origin import StreamOrigin
from fuchsiacroft.tests.base import TestCase

V1 = StreamOrigin("lens", "v1")
V2 = StreamOrigin("lens", "v2")
UNKNOWN = Error(OriginError.UNKNOWN)
SAW_V1 = OriginReply((), ("v1",), True)
SAW_V2 = OriginReply((), ("v2",), True)
NEW = OriginReply((), ("v1",), False)


class LookupTests(TestCase):
    """Only what is certain is inferred."""

    def result(self, *replies, expected=("x", "y"), may_infer=True):
        lookup = Lookup("lens")
        lookup.expect(expected)
        for domain, reply in replies:
            lookup.add(domain, reply)
        return lookup.result(may_infer=may_infer)

    def test_an_origin_that_one_entry_was_told_is_not_used(self):
        for replies in itertools.permutations(
            (("x", OriginReply((V1,), ("v1", "v2"))), ("y", SAW_V2), ("z", NEW))
        ):
            self.assertEqual(Ok(V1), self.result(*replies, may_infer=False))

    def test_a_stream_with_two_origins_goes_on(self):
        replies = ("x", OriginReply((V1,))), ("y", OriginReply((V2,)))
        self.assertEqual(Error(OriginError.AMBIGUOUS), self.result(*replies))

    def test_a_reply_of_one_domain_settles_which_of_two_streams_is_meant(self):
        lookup = Lookup("lens")
        lookup.add("x", OriginReply((V1,)))
        self.assertFalse(lookup.is_settled)
        lookup.add("y", OriginReply((V1, V2)))
        self.assertTrue(lookup.is_settled)

    def test_replies_are_awaited_although_two_domains_agree(self):
        lookup = Lookup("lens")
        for domain in ("x", "y"):
            lookup.add(domain, OriginReply((V1,)))
        self.assertTrue(lookup.is_settled)

    def test_a_stream_is_refused_where_one_version_served_all_the_time(self):
        self.assertEqual(Ok(V1), self.result(("x", SAW_V1), ("y", NEW)))

    def test_a_version_is_guessed(self):
        self.assertEqual(UNKNOWN, self.result(("x", SAW_V1), ("y", SAW_V2)))
        self.assertEqual(UNKNOWN, self.result(("x", NEW), ("y", NEW)))
        self.assertEqual(UNKNOWN, self.result(("x", SAW_V1)))
        self.assertEqual(UNKNOWN, self.result(("x", OriginReply((), (), True))))
        replies = ("x", SAW_V1), ("y", SAW_V1)
        self.assertEqual(UNKNOWN, self.result(*replies, may_infer=False))
