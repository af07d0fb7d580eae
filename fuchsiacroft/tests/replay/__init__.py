"""Tests of `fuchsiacroft.replay`."""
