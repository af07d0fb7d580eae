"""Forms for operators."""
