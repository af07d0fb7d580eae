"""Tests of `fuchsiacroft.membership`."""
