"""How an attempt to run a request on a backend server ended."""

import enum


class AttemptResult(enum.Enum):
    """How an attempt ended.

    `FAILED`: the backend server answered with a server error. `BROKEN`: the connection
    was lost, or the response is incomplete or belongs to another request. `SILENT`: the
    idle timeout passed, and another server has a slot. After `NOT_RUN` the request was
    not executed; after `BROKEN` and `SILENT` it may have been.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"
