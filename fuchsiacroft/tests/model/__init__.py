"""Tests of `fuchsiacroft.model`."""
