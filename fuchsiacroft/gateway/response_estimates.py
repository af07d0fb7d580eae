"""Expected time from sending a request to its first event or its plain response.

It answers engines of any speed and prompts of any length: for each service, a line
is fitted through the times of recent runs over their prompt lengths. The estimate for
a prompt is what a request needs after its wait, so it decides how long the request
may wait.
"""

from collections import OrderedDict

from fuchsiacroft.utils import line_fit
from fuchsiacroft.utils.line_fit import LineFit

PRIOR = ((0, 0.05, 2.5), (2_000, 0.08, 2.5))
"""Samples of prompt tokens, seconds and weight that count until others have come."""
MAX_SERVICES = 1_000


class ResponseEstimates:
    """The times of all services that this entry has sent requests to."""

    def __init__(self) -> None:
        self._lines: OrderedDict[str, LineFit] = OrderedDict()

    def record(self, service: str, prompt_tokens: int, seconds: float) -> None:
        """Record the time to the first event, or to a plain response."""
        self._line(service).add(prompt_tokens, seconds)

    def expected_s(self, service: str, prompt_tokens: int) -> float:
        """Return the expected time of a request with a prompt, 0 tokens if plain."""
        return self._line(service).value(prompt_tokens)

    def _line(self, service: str) -> LineFit:
        line = self._lines.get(service)
        if line is None:
            line = self._lines[service] = line_fit.create(*PRIOR)
            if len(self._lines) > MAX_SERVICES:
                self._lines.popitem(last=False)
        return line
