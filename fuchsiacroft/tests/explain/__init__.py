"""Tests of the package `explain`."""
