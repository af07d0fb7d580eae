"""Tests of relaying an answer to a caller that leaves at its end."""

from types import SimpleNamespace
from unittest import mock

from aiohttp import ClientConnectionResetError

from fuchsiacroft.gateway.buffered_bytes import BufferedBytes
from fuchsiacroft.gateway.events import EventSplitter
from fuchsiacroft.gateway.response_relay import CallerLeftError, ResponseRelay
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.replica import sse_events


class LeavingCallerTests(PausedTestCase):
    """A caller closes its connection as soon as it has the last event."""

    def relay(self, is_stream: bool):
        caller = mock.AsyncMock(status=200, content_type="text/event-stream")
        left = ClientConnectionResetError("Cannot write to closing transport")
        caller.write_eof.side_effect = left
        protocol = SimpleNamespace(writing_paused=False)
        http = SimpleNamespace(protocol=protocol, writer=mock.Mock(), version=(1, 1))
        context = SimpleNamespace(
            request=SimpleNamespace(route=SimpleNamespace(kind=mock.Mock())),
            http=http,
            event_splitter=EventSplitter(),
            started_response=caller,
            last_event_id=None,
            first_event_at=None,
        )
        context.request.route.kind.is_stream = is_stream
        server = mock.Mock(status=200, content_type="text/event-stream")
        server.headers = {"Transfer-Encoding": "chunked"}
        pieces = [sse_events(1, 2) + bytes(2_000_000 * (not is_stream)), b""]
        server.content.readany = mock.AsyncMock(side_effect=pieces)
        relay = ResponseRelay(context, mock.Mock(), BufferedBytes())
        watch = mock.MagicMock()
        watch.__aexit__ = mock.AsyncMock(return_value=False)
        listener = mock.Mock()
        listener.watch.return_value = watch

        async def run():
            with mock.patch("fuchsiacroft.gateway.response_relay.SecondAnswerFinder"):
                return await relay.relay(server, listener)

        return self.run_paused(run())

    def test_a_caller_that_leaves_with_the_last_event_is_taken_for_a_lost_server(self):
        with self.assertRaises(CallerLeftError):
            self.relay(is_stream=True)

    def test_a_caller_that_leaves_with_the_last_byte_is_taken_for_a_lost_server(self):
        with self.assertRaises(CallerLeftError):
            self.relay(is_stream=False)
