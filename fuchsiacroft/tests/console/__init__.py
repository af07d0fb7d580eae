"""Tests of `fuchsiacroft.console`."""
