"""Generate CURVE key pairs for the settings."""

import json

import zmq
from absl import flags


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    flags.DEFINE_integer(
        "pairs", 1, "number of key pairs to generate", lower_bound=1, flag_values=values
    )


def run(values: flags.FlagValues) -> int:
    """Print key pairs, including secret keys, one JSON object per line."""
    for _ in range(values.pairs):
        public, secret = zmq.curve_keypair()
        print(json.dumps({"public": public.decode(), "secret": secret.decode()}))
    return 0
