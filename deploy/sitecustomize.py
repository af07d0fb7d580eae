"""Run by the interpreter at its start, before the program's modules are found.

SIGHUP asks for a reload. Until a process handles it, it must not end by it.
"""

import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
