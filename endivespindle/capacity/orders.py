"""Numbers capacity orders, and repeats the ones that were not confirmed."""

from collections.abc import Sequence

import msgspec

from endivespindle.schema.generated.backend import CapacityOrder
from endivespindle.schema.generated.stored import Intent

__all__ = ["IntendedOrder", "next_order", "unconfirmed_orders"]


class IntendedOrder(msgspec.Struct, kw_only=True, frozen=True):
    """An order with the intent to record before it is sent."""

    order: CapacityOrder
    intent: Intent


def next_order(
    *,
    intents: Sequence[Intent],
    data_centre: str,
    service: str,
    count: int,
    fencing_number: int,
    new_id: str,
) -> IntendedOrder:
    """Returns the order to send next for a service.

    An act that the far side has not confirmed goes first, with the same
    intent, number and count under the new fencing number: it may have taken
    effect, and repeating it is harmless.

    Args:
        intents: Acts recorded under the lease.
        data_centre: Data centre ordered for.
        service: Service ordered for.
        count: Backend servers wanted in all.
        fencing_number: Epoch of the lease.
        new_id: Identity to use if the act is a new one.
    """
    unconfirmed = [i for i in intents if i.subject == service and not i.done]
    if unconfirmed:
        return _reissue(unconfirmed[0], fencing_number)
    number = 1 + max((i.number for i in intents), default=0)
    order = CapacityOrder(
        data_centre=data_centre,
        service=service,
        count=count,
        fencing_number=fencing_number,
        number=number,
        intent_id=new_id,
    )
    intent = Intent(
        subject=service,
        intent_id=new_id,
        number=number,
        body=msgspec.json.encode(order).decode(),
    )
    return IntendedOrder(order=order, intent=intent)


def unconfirmed_orders(
    intents: Sequence[Intent], *, fencing_number: int
) -> list[IntendedOrder]:
    """Returns the orders that the far side has not confirmed."""
    unconfirmed = [i for i in intents if not i.done]
    return [_reissue(intent, fencing_number) for intent in unconfirmed]


def _reissue(intent: Intent, fencing_number: int) -> IntendedOrder:
    order = msgspec.json.decode(intent.body, type=CapacityOrder)
    return IntendedOrder(
        order=msgspec.structs.replace(order, fencing_number=fencing_number),
        intent=intent,
    )
