"""Why an answer is not passed on, or only in part."""

import enum


class AnswerFlaw(enum.Enum):
    """Why the caller can't get an answer to a request that has run.

    `FOREIGN`: it isn't shown to be the request's own. `PROMISES_NOT_RUN`: its status
    would promise the caller that the request didn't run.
    `SECOND_ANSWER`: another answer began in its body. `NO_CONTINUATION`: it is no event
    stream of the kind that the caller has the start of. `EVENT_ORDER`: the id of an
    event isn't higher than that of the event before.
    """

    FOREIGN = "foreign"
    UNSIGNED = "unsigned"
    ENCODED = "encoded"
    PROMISES_NOT_RUN = "promises_not_run"
    SECOND_ANSWER = "second_answer"
    NO_CONTINUATION = "no_continuation"
    EVENT_ORDER = "event_order"
