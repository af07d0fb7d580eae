"""Tests that streams go on at the software version and the service that began them."""

import asyncio

from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes import versioned_streams
from fuchsiacroft.tests.fakes.platform_region import PlatformRegion, config
from fuchsiacroft.tests.fakes.versioned_streams import (
    EVENTS,
    READ_BEFORE_BREAK,
    Stream,
    VersionedServer,
)

STREAMS = 24
STREAM_PERIOD_S = 0.1
HEARTBEAT_PERIOD_S = 0.5
ENTRIES = 4
BROKEN_EVERY = 3
LONG_EVENT_PERIOD_S = 0.1
ROUTE_TIMEOUT_S = 4.0
MIN_SHARE = 0.5
"""Streams that are taken up go on at least half as often as new ones begin."""


class StreamVersionsTestCase(SocketTestCase):
    """Four entries in two failure domains; servers of two versions in the first."""

    def create_region(self) -> PlatformRegion:
        """Return the region that has not started."""
        return PlatformRegion(ENTRIES, zones=("mvd-cordon", "mvd-pocitos"))

    async def asyncSetUp(self):
        self.region = self.create_region()
        await self.region.start()
        self.addAsyncCleanup(self.region.stop)
        self.servers: list[VersionedServer] = []
        self.heartbeats = asyncio.ensure_future(self.send_heartbeats())
        self.addAsyncCleanup(self.stop_heartbeats)

    async def stop_heartbeats(self):
        self.heartbeats.cancel()
        await asyncio.gather(self.heartbeats, return_exceptions=True)

    async def send_heartbeats(self):
        while True:
            for server in self.servers:
                await self.region.send_heartbeat(
                    server.replica, server.service, born=server.born
                )
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    async def add_servers(self, version: str, count: int = 2, service: str = "lens"):
        for _ in range(count):
            replica = await self.region.add_replica(service, version=version)
            self.servers.append(VersionedServer(replica, service))

    async def end_servers(self, version: str):
        for server in [s for s in self.servers if s.replica.version == version]:
            self.servers.remove(server)
            await server.replica.stop()
            url = self.region.url(0, f"/v1/replicas/{server.replica.replica_id}")
            await self.region.call("DELETE", url)

    async def play(self, one_stream) -> list[Stream]:
        """Run `one_stream(number)` for each stream, one after the other begun."""
        async with asyncio.TaskGroup() as group:
            tasks = []
            for number in range(STREAMS):
                tasks.append(group.create_task(one_stream(number)))
                await asyncio.sleep(STREAM_PERIOD_S)
        return [task.result() for task in tasks]

    async def play_taken_up(
        self, *, to_next: int = 1, pause_s: float = 0.1
    ) -> list[Stream]:
        """Take each stream up `to_next` entries further, after a pause."""

        async def one_stream(number: int) -> Stream:
            entry = number % ENTRIES
            stream = await versioned_streams.begin(self.region, entry)
            await asyncio.sleep(pause_s)
            taker = (entry + to_next) % ENTRIES
            await versioned_streams.take_up(self.region, stream, taker)
            return stream

        return await self.play(one_stream)

    def assert_go_on(self, streams: list[Stream]):
        """Check that no stream is mixed, and that enough of those begun go on."""
        self.assertEqual([], versioned_streams.mixed(streams))
        begun = [stream for stream in streams if stream.has_begun]
        self.assertGreaterEqual(len(begun), MIN_SHARE * len(streams))
        whole = sum(stream.is_whole for stream in begun)
        self.assertGreaterEqual(whole, MIN_SHARE * len(begun))


class TakenUpTests(StreamVersionsTestCase):
    """Callers take up streams that were broken off."""

    async def test_a_stream_goes_on_at_another_version_at_another_entry(self):
        await self.add_servers("v1")
        await self.add_servers("v1.1")
        self.assert_go_on(await self.play_taken_up())

    async def test_a_stream_goes_on_at_another_version_at_the_same_entry(self):
        await self.add_servers("v1")
        await self.add_servers("v1.1")
        self.assert_go_on(await self.play_taken_up(to_next=0))

    async def test_a_stream_taken_up_at_once_goes_on_at_another_version(self):
        await self.add_servers("v1")
        await self.add_servers("v1.1")
        self.assert_go_on(await self.play_taken_up(pause_s=0.0))

    async def test_a_stream_goes_on_at_another_version_after_its_entry_has_stopped(
        self,
    ):
        await self.add_servers("v1")
        await self.add_servers("v1.1")
        streams = [await versioned_streams.begin(self.region, 0) for _ in range(12)]
        await self.region.kernels.pop(self.region.entries[0]).stop()
        for number, stream in enumerate(streams):
            await versioned_streams.take_up(self.region, stream, 1 + number % 3)
        self.assert_go_on(streams)

    async def test_a_stream_that_is_taken_up_twice_goes_on_at_another_version(self):
        await self.add_servers("v1")
        await self.add_servers("v1.1")

        async def one_stream(number: int) -> Stream:
            entry = number % ENTRIES
            stream = await versioned_streams.begin(self.region, entry)
            for step in (1, 2):
                lines = versioned_streams.resume_lines(stream)
                await versioned_streams.read_events(
                    self.region, stream, (entry + step) % ENTRIES, *lines, most=4
                )
            await versioned_streams.take_up(self.region, stream, entry)
            return stream

        self.assert_go_on(await self.play(one_stream))

    async def test_a_stream_without_a_known_first_try_goes_on_by_guess(self):
        await self.add_servers("v1")
        await self.add_servers("v1.1")
        streams = [await versioned_streams.begin(self.region, n % 4) for n in range(4)]
        for number, lines in enumerate(
            ((), ("Resumes: made-up",), ("Resumes: ",), ("Resumes: \xfc",))
        ):
            await versioned_streams.read_events(
                self.region, streams[number], number, "Last-Event-Id: 4", *lines
            )
        self.assertEqual([[200, 503]] * 4, [s.statuses for s in streams])

    async def test_a_stream_is_forgotten_that_lasted_as_long_as_its_route_allows(self):
        await self.add_servers("v1")
        await self.add_servers("v1.1")
        streams = [await versioned_streams.begin(self.region, n % 4) for n in range(8)]
        await asyncio.sleep(ROUTE_TIMEOUT_S)
        for number, stream in enumerate(streams):
            await versioned_streams.take_up(self.region, stream, (number + 1) % 4)
        self.assert_go_on(streams)

    async def test_a_service_is_guessed_on_a_split_route(self):
        """Both services have the same version, and the stream has no known origin."""
        await self.split_route()
        streams = [await versioned_streams.begin(self.region, n % 4) for n in range(4)]
        await asyncio.sleep(ROUTE_TIMEOUT_S)
        for number, stream in enumerate(streams):
            await versioned_streams.read_events(
                self.region, stream, number, "Last-Event-Id: 4", "Resumes: made-up"
            )
        self.assertEqual([[200, 503]] * 4, [s.statuses for s in streams])

    async def test_a_stream_whose_version_has_ended_goes_on_at_another(self):
        await self.add_servers("v1")
        streams = [await versioned_streams.begin(self.region, n % 4) for n in range(8)]
        await self.add_servers("v1.1")
        await self.end_servers("v1")
        for number, stream in enumerate(streams):
            await versioned_streams.take_up(self.region, stream, (number + 1) % 4)
        self.assertEqual([[200, 503]] * len(streams), [s.statuses for s in streams])

    async def test_a_stream_of_a_split_route_goes_on_at_another_service(self):
        await self.split_route()
        self.assert_go_on(await self.play_taken_up())

    async def split_route(self):
        """Split the route that is resumable between two services of one version."""
        split = [{"service": "lens", "weight": 1}, {"service": "till", "weight": 1}]
        document = config(version=2)
        document["routes"][-1] |= {"service": None, "trafficSplit": split}
        del document["routes"][-1]["service"]
        self.assertEqual(200, await self.region.put_config(document))
        await self.add_servers("v1")
        await self.add_servers("v1", service="till")
        await asyncio.sleep(1.0)


class BrokenOffTests(StreamVersionsTestCase):
    """Servers break off answers, which the entry completes at another server."""

    async def test_an_answer_that_a_server_breaks_off_goes_on_at_another_version(self):
        await self.add_servers("v1")
        await self.add_servers("v1.1")

        async def one_stream(number: int) -> Stream:
            stream = versioned_streams.new_stream(self.region)
            if number % BROKEN_EVERY == 0:
                for server in self.servers:
                    server.broken_paths.add(stream.path)
            await versioned_streams.read_events(
                self.region, stream, number % ENTRIES, attempt_id=stream.first_id
            )
            return stream

        self.assert_go_on(await self.play(one_stream))


class RestartedServerTests(StreamVersionsTestCase):
    """The one server of v1 crashes, and is back at v2 before its heartbeat is."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.add_servers("v1", 1)
        await self.add_servers("v2", 3)
        for server in self.servers:
            server.event_period_s = LONG_EVENT_PERIOD_S
        self.restarted = self.servers[0]

    async def crash(self):
        """End the server of v1; its heartbeats end, too."""
        self.servers.remove(self.restarted)
        await self.restarted.replica.stop()

    async def restart(self):
        """Start it again at v2; the heartbeats of this start are late."""
        self.restarted.replica.version = "v2"
        self.restarted.born += 5_000
        await self.restarted.replica.start()

    async def begin_streams(self, most: int = EVENTS, count: int = 8) -> list[Stream]:
        """Read streams at all entries, each to its end, its break or `most` events."""
        return await asyncio.gather(
            *(
                versioned_streams.begin(self.region, n % ENTRIES, most)
                for n in range(count)
            )
        )

    async def take_up_all(self, streams: list[Stream], entries: tuple[int, ...]):
        """Take up the streams that have an end missing."""
        rest = [s for s in streams if s.has_begun and not s.is_whole]
        await asyncio.gather(
            *(
                versioned_streams.take_up(
                    self.region, stream, entries[number % len(entries)]
                )
                for number, stream in enumerate(rest)
            )
        )
        return rest

    async def crash_while_it_streams(self) -> list[Stream]:
        reading = asyncio.ensure_future(self.begin_streams())
        await asyncio.sleep(4.5 * LONG_EVENT_PERIOD_S)
        await self.crash()
        await asyncio.sleep(0.3)
        await self.restart()
        return await reading

    async def test_a_stream_goes_on_at_a_restarted_server_that_lost_its_run(self):
        streams = await self.crash_while_it_streams()
        rest = await self.take_up_all(streams, (0, 1, 2, 3))
        self.assertNotEqual([], rest)
        self.assertEqual([], versioned_streams.mixed(streams))

    async def test_a_stream_goes_on_at_a_restarted_server_at_the_next_coordinator(self):
        streams = await self.crash_while_it_streams()
        await self.region.kernels.pop(self.region.entries[0]).stop()
        rest = await self.take_up_all(streams, (1, 2, 3))
        self.assertNotEqual([], rest)
        self.assertEqual([], versioned_streams.mixed(streams))

    async def test_a_stream_goes_on_at_a_restarted_server_that_refused_connections(
        self,
    ):
        streams = await self.begin_streams(READ_BEFORE_BREAK)
        await self.crash()
        await self.begin_streams(1)
        await self.restart()
        rest = await self.take_up_all(streams, (0, 1, 2, 3))
        self.assertNotEqual([], rest)
        self.assertEqual([], versioned_streams.mixed(streams))

    async def test_a_stream_that_begins_at_a_restarted_server_goes_on_by_its_past(self):
        await self.crash_while_it_streams()
        streams = await self.begin_streams(READ_BEFORE_BREAK, 16)
        self.servers.append(self.restarted)
        await asyncio.sleep(2 * HEARTBEAT_PERIOD_S)
        await self.add_servers("v1", 1)
        await self.take_up_all(streams, (0, 1, 2, 3))
        self.assertEqual([], versioned_streams.mixed(streams))

    async def begin_after_idle_restart(self, events: int = EVENTS) -> list[Stream]:
        """Begin streams at a start whose first heartbeat comes 0.2 s later."""
        await self.add_servers("v1", 1)
        await self.crash()
        await self.restart()
        reading = asyncio.ensure_future(self.begin_streams(events, 16))
        await asyncio.sleep(2 * LONG_EVENT_PERIOD_S)
        self.servers.append(self.restarted)
        await asyncio.sleep(HEARTBEAT_PERIOD_S + 2 * LONG_EVENT_PERIOD_S)
        await self.crash()
        return await reading

    async def test_a_stream_is_sent_on_after_two_crashes_without_a_heartbeat(self):
        await self.add_servers("v1", 1)
        await self.crash()
        await self.restart()
        reading = asyncio.ensure_future(self.begin_streams(EVENTS, 16))
        await asyncio.sleep(4.5 * LONG_EVENT_PERIOD_S)
        await self.restarted.replica.stop()
        self.assertEqual([], versioned_streams.mixed(await reading))

    async def test_a_stream_of_a_server_that_restarted_while_idle_is_sent_on(self):
        streams = await self.begin_after_idle_restart()
        self.assertEqual([], versioned_streams.mixed(streams))
        self.assertFalse(all(stream.is_whole for stream in streams))

    async def test_a_stream_of_a_server_that_restarted_while_idle_is_taken_up(self):
        streams = await self.begin_after_idle_restart(READ_BEFORE_BREAK)
        rest = await self.take_up_all(streams, (0, 1, 2, 3))
        self.assertNotEqual([], rest)
        self.assertEqual([], versioned_streams.mixed(streams))
