"""Records and logs what backend servers say of themselves in their answers."""

from datetime import UTC, datetime

from expression import Result

from fuchsiacroft.membership.server_notices import NoticedAnswer, ServerNotices
from fuchsiacroft.utils import retry_after
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event


class NoticeRecorder:
    """Adds the notices of answers to `notices`."""

    def __init__(self, notices: ServerNotices) -> None:
        self._notices = notices

    def record(self, answer: NoticedAnswer) -> bool:
        """Record the notice of an answer; return whether a leave was not known yet."""
        server, notice = answer.server, answer.notice
        if notice.retry_after is not None:
            self._record_pause(answer, notice.retry_after)
        if not notice.is_leaving or not self._notices.record_leaving(server):
            return False
        event(
            "info",
            "server_says_leaving",
            backend_server=server.name,
            start=server.start,
            request_id=answer.request_id,
        )
        return True

    def _record_pause(self, answer: NoticedAnswer, value: str) -> None:
        server, request_id = answer.server, answer.request_id
        match retry_after.parse(value, datetime.now(UTC)):
            case Result(tag="ok", ok=seconds):
                pass
            case Result(error=problem):
                seconds = answer.longest_pause_s
                event(
                    "warning",
                    "retry_after_not_used",
                    backend_server=server.name,
                    value=value,
                    reason=problem,
                    request_id=request_id,
                )
        if seconds > 0:
            self._notices.record_pause(server, seconds, now())
        event(
            "info",
            "server_paused",
            backend_server=server.name,
            start=server.start,
            seconds=round(seconds, 3),
            request_id=request_id,
        )
