"""The faults, each with what mends it."""

import asyncio
import random
import shutil
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import aiohttp

from fuchsiacroft.tests.fakes.cluster import DOMAINS, Cluster, sample_document

SLOWDOWN = 8
RESTART_PAUSE_S = 0.5


@dataclass(frozen=True)
class FaultContext:
    """What a fault acts on."""

    cluster: Cluster
    session: aiohttp.ClientSession
    random: random.Random


Action = Callable[[FaultContext], Awaitable[Callable[[], Awaitable[None]]]]


async def kill_entry(scene: FaultContext):
    """Kill an entry; it is started again."""
    return await _kill(scene, _pick(scene, "entry"))


async def kill_engine(scene: FaultContext):
    """Kill a model engine; it is started again."""
    return await _kill(scene, _pick(scene, "engine"))


async def kill_control(scene: FaultContext):
    """Kill a control member; it is started again on its disk."""
    return await _kill(scene, _pick(scene, "control"))


async def kill_leader(scene: FaultContext):
    """Kill the control member that leads; it is started again."""
    return await _kill(scene, await leader(scene) or _pick(scene, "control"))


async def lose_disk(scene: FaultContext):
    """Kill a control member and remove its data folder."""
    name = _pick(scene, "control")
    mend = await _kill(scene, name)
    shutil.rmtree(scene.cluster.folder / f"{name}-data")
    return mend


async def freeze_entry(scene: FaultContext):
    """Freeze an entry."""
    return await _freeze(scene, _pick(scene, "entry"))


async def freeze_engine(scene: FaultContext):
    """Freeze a model engine."""
    return await _freeze(scene, _pick(scene, "engine"))


async def freeze_leader(scene: FaultContext):
    """Freeze the control member that leads."""
    return await _freeze(scene, await leader(scene) or _pick(scene, "control"))


async def slow_engine(scene: FaultContext):
    """Make a model engine a straggler."""
    name = _pick(scene, "engine")
    await _fault(scene, name, {"slowdown": SLOWDOWN})

    async def mend() -> None:
        await _fault(scene, name, {"slowdown": 1})

    return mend


async def cut_domain(scene: FaultContext):
    """Cut a failure domain off from the others, silently."""
    scene.cluster.links.isolate(scene.random.choice(DOMAINS), DOMAINS)

    async def mend() -> None:
        scene.cluster.links.heal()

    return mend


async def cut_one_way(scene: FaultContext):
    """Lose what one failure domain sends to another."""
    source, target = scene.random.sample(DOMAINS, 2)
    scene.cluster.links.block(source, target)

    async def mend() -> None:
        scene.cluster.links.heal()

    return mend


async def stop_entry(scene: FaultContext):
    """Stop an entry as planned; it is started again."""
    name = _pick(scene, "entry")
    scene.cluster.kill(name, signal.SIGTERM)

    async def mend() -> None:
        await asyncio.to_thread(scene.cluster.running[name].wait)
        scene.cluster.start(name)

    return mend


async def leave_engine(scene: FaultContext):
    """Let a model engine announce that it is leaving."""
    name = _pick(scene, "engine")
    scene.cluster.kill(name, signal.SIGUSR1)

    async def mend() -> None:
        scene.cluster.kill(name)
        scene.cluster.running[name].wait()
        scene.cluster.start(name)

    return mend


async def race_operators(scene: FaultContext):
    """Change the document from two sides under the same version, and resend."""
    try:
        async with asyncio.timeout(2.0):
            version = await scene.cluster.newest_version(scene.session)
    except (aiohttp.ClientError, OSError, TimeoutError):
        return _nothing
    answers = await asyncio.gather(
        *(
            scene.cluster.put_document(
                scene.session, sample_document(), version, f"race-{version}-{side}"
            )
            for side in ("a", "a", "b")
        ),
        return_exceptions=True,
    )
    versions = {
        answer[1]["version"]
        for answer in answers
        if isinstance(answer, tuple) and answer[0] == 200
    }
    if len(versions) > 1:
        raise AssertionError(f"two operators won under one version: {answers}")
    return _nothing


async def leader(scene: FaultContext) -> str | None:
    """Return the name of the control member that leads."""
    nodes = scene.cluster.named("control")
    for node, dump in zip(nodes, await _dumps(scene, "control"), strict=True):
        if dump is not None and dump["log"].get("role") == "leader":
            return node.name
    return None


ACTIONS: dict[str, Action] = {
    action.__name__: action
    for action in (
        kill_entry,
        kill_engine,
        kill_control,
        kill_leader,
        lose_disk,
        freeze_entry,
        freeze_engine,
        freeze_leader,
        slow_engine,
        cut_domain,
        cut_one_way,
        stop_entry,
        leave_engine,
        race_operators,
    )
}


async def _nothing() -> None:
    return


async def _dumps(scene: FaultContext, prefix: str) -> list[dict | None]:
    dumps = []
    for node in scene.cluster.named(prefix):
        try:
            async with asyncio.timeout(1.0):
                dumps.append(await scene.cluster.dump(scene.session, node.name))
        except (aiohttp.ClientError, OSError, TimeoutError):
            dumps.append(None)
    return dumps


def _pick(scene: FaultContext, prefix: str) -> str:
    return scene.random.choice(scene.cluster.named(prefix)).name


async def _kill(scene: FaultContext, name: str):
    scene.cluster.kill(name)
    await asyncio.to_thread(scene.cluster.running[name].wait)

    async def mend() -> None:
        scene.cluster.start(name)
        await asyncio.sleep(RESTART_PAUSE_S)

    return mend


async def _freeze(scene: FaultContext, name: str):
    scene.cluster.kill(name, signal.SIGSTOP)

    async def mend() -> None:
        scene.cluster.kill(name, signal.SIGCONT)

    return mend


async def _fault(scene: FaultContext, name: str, fault: dict) -> None:
    url = scene.cluster.url(name, "http", "/fault")
    async with scene.session.post(url, json=fault) as res:
        if res.status >= 300:
            raise AssertionError(await res.text())
