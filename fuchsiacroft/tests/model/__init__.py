"""Tests of the model of the systems served."""
