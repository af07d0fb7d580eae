"""Tests of `fuchsiacroft.control`."""
