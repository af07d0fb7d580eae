"""Write the recorded traces in the shapes of both deployments.

`python tools/write_traces.py [FOLDER]`: by default the folder `traces`. The
same seed writes the same bytes.
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
STATED = Expectations(goodput={"0": 0.98}, cut=0)


def record(deployment: Deployment) -> list[Arrival]:
    """Return a trace in which half of the non-idempotent requests come again."""
    rng = random.Random(SEED)
    made = trace.generate(deployment, MODEL_REQUESTS_PER_S, LENGTH_S, SEED)
    resent = [
        trace.resend(arrival, RESEND_AFTER_S)
        for arrival in made
        if not arrival.idempotent and rng.random() < 0.5
    ]
    return sorted(made + resent, key=lambda arrival: arrival.at_s)


def write(folder: Path) -> None:
    """Write each deployment's trace and its stated outcomes."""
    for name, deployment in trace.DEPLOYMENTS.items():
        trace.save(record(deployment), folder / f"{name}.jsonl")
        stated = msgspec.json.format(msgspec.json.encode(STATED))
        (folder / f"{name}.stated.json").write_bytes(stated + b"\n")


if __name__ == "__main__":
    write(Path(sys.argv[1]) if len(sys.argv) > 1 else TRACES)
