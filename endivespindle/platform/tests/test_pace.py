"""The pace of a server, decoded from its load."""

import pytest

from endivespindle.platform.headers import parse_response_head


@pytest.mark.parametrize(
    ("text", "pace"),
    [("1,0,6", None), ("1,0,6,250", 2.5), ("1,0,6,0", None), ("1,0,6,x", None)],
)
def test_the_pace_is_decoded_from_the_load(text, pace):
    head = parse_response_head(200, {"X-Server-Load": text}, ())
    assert (head.load.pace if head.load else None) == pace
