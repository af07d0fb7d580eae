"""Tests of `fuchsiacroft.entry`."""
