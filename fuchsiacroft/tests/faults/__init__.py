"""Real processes under faults, judged by what the stand-ins counted."""
