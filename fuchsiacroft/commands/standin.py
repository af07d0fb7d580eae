"""Run a stand-in model engine or plain application."""

import asyncio
import signal

from absl import flags

from fuchsiacroft.standin import announcer, application, engine
from fuchsiacroft.utils import logs, process
from fuchsiacroft.utils.http import Listener


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    flags.DEFINE_enum(
        "kind", "engine", ["engine", "application"], "the kind of stand-in", values
    )
    flags.DEFINE_string("name", "standin-1", "the backend server's name", values)
    flags.DEFINE_string(
        "domain", "domain-1", "the backend server's failure domain", values
    )
    flags.DEFINE_string("address", "127.0.0.1:9000", "the address to listen on", values)
    flags.DEFINE_list("entries", [], "entry addresses to announce to", values)
    flags.DEFINE_string("service", "assistant", "the service to offer", values)
    flags.DEFINE_integer(
        "slots", 8, "number of concurrent requests", flag_values=values
    )
    flags.DEFINE_string("generation", "g1", "the hardware generation", values)
    flags.DEFINE_float(
        "token_gap_s", 0.01, "seconds between generated tokens", flag_values=values
    )
    flags.DEFINE_float(
        "prefill_rate", 20_000, "prompt tokens processed per second", flag_values=values
    )
    flags.DEFINE_float(
        "work_s", 0.02, "seconds per call of an application", flag_values=values
    )
    flags.DEFINE_bool(
        "can_crash", False, "let marked requests crash the process", values
    )
    flags.DEFINE_bool(
        "checks_fencing", True, "refuse orders with an outdated fencing number", values
    )
    flags.DEFINE_integer(
        "cache_blocks",
        4096,
        "capacity of the prefix cache in blocks",
        flag_values=values,
    )
    flags.DEFINE_float(
        "load_lag_s", 0.0, "age of the reported load in seconds", flag_values=values
    )
    flags.DEFINE_integer(
        "knee", 8, "running requests above which token gaps grow", flag_values=values
    )
    flags.DEFINE_float(
        "load_model_s", 0.2, "seconds to load a model", flag_values=values
    )


def run(values: flags.FlagValues) -> int:
    """Serve until SIGTERM or SIGINT; SIGUSR1 announces that it is leaving."""
    logs.configure("INFO")
    process.run(_serve(values))
    return 0


async def _serve(values: flags.FlagValues) -> None:
    if values.kind == "engine":
        server = engine.create(_speed(values), values.can_crash, values.checks_fencing)
    else:
        server = application.create(values.work_s, values.can_crash)
    listener = Listener(server.app(), values.address)
    await listener.start()
    announcement = announcer.create_announcement(
        name=values.name,
        domain=values.domain,
        address=values.address,
        service=values.service,
        slots=values.slots,
        generation=values.generation,
    )
    server_announcer = announcer.Announcer(
        announcement, values.entries, server.describe
    )
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    loop.add_signal_handler(signal.SIGUSR1, server_announcer.leave)
    task = loop.create_task(server_announcer.run())
    await stopping.wait()
    task.cancel()
    await listener.stop()


def _speed(values: flags.FlagValues) -> engine.EngineSpeed:
    return engine.EngineSpeed(
        prefill_tokens_per_s=values.prefill_rate,
        token_gap_s=values.token_gap_s,
        knee=values.knee,
        cache_blocks=values.cache_blocks,
        load_lag_s=values.load_lag_s,
        load_model_s=values.load_model_s,
    )
