"""The settings of a process and the operators' document."""
