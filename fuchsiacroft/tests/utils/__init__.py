"""Tests of `fuchsiacroft.utils`."""
