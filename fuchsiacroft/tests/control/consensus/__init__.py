"""Tests of `fuchsiacroft.control.consensus`."""
