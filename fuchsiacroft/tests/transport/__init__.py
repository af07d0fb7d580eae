"""Tests of `fuchsiacroft.transport`."""
