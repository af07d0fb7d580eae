"""Tests of `fuchsiacroft.config`."""
