"""Tracebacks of exceptions that outlive their handling."""


def drop_traceback(exc: BaseException) -> None:
    """Let go of the frames that an exception has passed, and those of its causes.

    A body that has failed keeps its exception and raises it in each read. With its
    traceback, this would keep the frames, and they the body with all that was read.
    """
    found: BaseException | None = exc
    while found is not None:
        found.__traceback__ = None
        found = found.__cause__ or found.__context__
