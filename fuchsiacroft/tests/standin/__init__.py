"""Tests of `fuchsiacroft.standin`."""
