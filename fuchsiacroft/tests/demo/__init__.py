"""Tests of `fuchsiacroft.demo`."""
