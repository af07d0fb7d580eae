"""Write the recorded traces of both example deployments.

`python tools/write_traces.py [FOLDER]` writes to the folder `traces` by default. The
seed is fixed, so each run writes the same bytes.
"""

import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import msgspec

from fuchsiacroft.model import trace
from fuchsiacroft.model.trace import Arrival, Deployment
from fuchsiacroft.replay.expectations import Expectations

TRACES = Path(__file__).resolve().parent.parent / "traces"
SEED = 7
MODEL_REQUESTS_PER_S = 8.0
LENGTH_S = 10.0
RESEND_AFTER_S = 2.0
EXPECTED = Expectations(goodput={"0": 0.98}, cut=0)


def record(deployment: Deployment) -> list[Arrival]:
    """Return a trace in which half of the non-idempotent requests are resent."""
    rng = random.Random(SEED)
    generated = trace.generate(deployment, MODEL_REQUESTS_PER_S, LENGTH_S, SEED)
    resent = [
        trace.resend(arrival, RESEND_AFTER_S)
        for arrival in generated
        if not arrival.idempotent and rng.random() < 0.5
    ]
    return sorted(generated + resent, key=lambda arrival: arrival.at_s)


def write(folder: Path) -> None:
    """Write the trace and the expected outcomes of each deployment."""
    for name, deployment in trace.DEPLOYMENTS.items():
        trace.save(record(deployment), folder / f"{name}.jsonl")
        expected = msgspec.json.format(msgspec.json.encode(EXPECTED))
        (folder / f"{name}.stated.json").write_bytes(expected + b"\n")


if __name__ == "__main__":
    write(Path(sys.argv[1]) if len(sys.argv) > 1 else TRACES)
