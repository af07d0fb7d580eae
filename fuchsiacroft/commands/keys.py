"""Generate CURVE key pairs for the settings."""

import json

import zmq
from absl import flags


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    flags.DEFINE_integer(
        "pairs", 1, "how many key pairs", lower_bound=1, flag_values=values
    )


def run(values: flags.FlagValues) -> int:
    """Print key pairs, one JSON object a line, secret part included."""
    for _ in range(values.pairs):
        public, secret = zmq.curve_keypair()
        print(json.dumps({"public": public.decode(), "secret": secret.decode()}))
    return 0
