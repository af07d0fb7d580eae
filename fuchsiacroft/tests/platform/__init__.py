"""Tests of the package `platform`."""
