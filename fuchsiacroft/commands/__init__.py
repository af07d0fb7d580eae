"""Command-line subcommands, one module each."""
