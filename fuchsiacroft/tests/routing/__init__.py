"""Tests of `fuchsiacroft.routing`."""
