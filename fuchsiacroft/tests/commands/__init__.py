"""Tests of `fuchsiacroft.commands`."""
