"""Tests of callers that leave while a response is written to them."""

from unittest import mock

from aiohttp import web

from fuchsiacroft.gateway.attempt import Attempt
from fuchsiacroft.routing.permits import RunOutcome
from fuchsiacroft.tests.fakes.platform_region import PlatformTestCase
from fuchsiacroft.tests.fakes.replica import (
    LAST_CHUNK,
    chunk,
    response,
    sse_events,
    stream_head,
)

LARGE = b"x" * 2_000_000


async def stream(req, writer):
    """Stream three events."""
    writer.write(stream_head(req) + chunk(sse_events(1, 2, 3)) + LAST_CHUNK)


async def large(req, writer):
    """Respond with a body that is relayed while it arrives."""
    writer.write(response(req, LARGE))


class LostCallerTests(PlatformTestCase):
    """A connection that the caller has closed says nothing of the backend server."""

    async def assert_cancelled(self, service: str, handler, path: str) -> None:
        replicas = [await self.region.add_replica(service, handler) for _ in range(2)]
        outcomes = []
        release = Attempt._release

        def record(attempt: Attempt, outcome: RunOutcome) -> None:
            outcomes.append(outcome)
            release(attempt, outcome)

        lost = ConnectionResetError("the caller has left")
        with (
            mock.patch.object(web.StreamResponse, "write", side_effect=lost),
            mock.patch.object(Attempt, "_release", record),
            self.assertRaises((ConnectionError, EOFError)),
        ):
            got = await self.region.send_request(path)
            if not got.complete:
                raise ConnectionResetError
        self.assertEqual([RunOutcome.CANCELLED], outcomes)
        self.assertEqual(1, sum(len(replica.received) for replica in replicas))

    async def test_a_stream_goes_on_for_a_caller_that_has_left(self):
        await self.assert_cancelled("lens", stream, "/report/1/")

    async def test_a_large_response_of_a_caller_that_has_left_is_a_lost_server(self):
        await self.assert_cancelled("till", large, "/stock/1/")
