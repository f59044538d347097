"""Batch jobs for tests."""

from endivespindle.batch.submission import (
    BatchItem,
    BatchSubmission,
    RewardCall,
)
from endivespindle.serving.calls import StreamEvent


def item(name, group="g1", hint=10, score=False, **changes):
    return BatchItem(
        item_id=name,
        path="/gen/1",
        headers={"X-Model": "m"},
        body=name.encode(),
        tokens=100,
        group=group,
        hint=hint,
        score=RewardCall(
            call_id=f"score-{name}",
            host="app.example",
            path="/orders/1",
            body=b"{}",
        )
        if score
        else None,
        **changes,
    )


def submission(items, **changes):
    fields = {
        "job_id": "job-1",
        "client_account": "acme",
        "host": "app.example",
        "path": "/jobs/1",
        "service": "engine",
        "submitted_ms": 0,
        "due_s": 7.5,
        "max_wait_s": 40.0,
        "max_attempts": 3,
        "single_version": False,
        "first_owner": "n1/a",
        "items": items,
        "model": "m",
        "min_version": 1,
    }
    return BatchSubmission(**(fields | changes))


def event(number, data=None, version=None):
    return StreamEvent(
        event_id=number,
        data=data or f"t{number}",
        weight_version=version,
        raw=b"",
    )
