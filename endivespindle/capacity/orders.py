"""Numbers capacity orders and reissues unconfirmed ones."""

from collections.abc import Sequence

import msgspec

from endivespindle.core.decoding import decode_json
from endivespindle.schema.generated.backend import CapacityOrder
from endivespindle.schema.generated.stored import Intent

__all__ = ["IntendedOrder", "next_order", "unconfirmed_orders"]


class IntendedOrder(msgspec.Struct, kw_only=True, frozen=True):
    """An order, and the intent to record before the order is sent."""

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

    An order that the platform has not confirmed is reissued first, with the
    same intent, number and count under the new fencing number: it may have
    taken effect, and orders are idempotent.

    Args:
        intents: Intents recorded under the lease.
        data_centre: Data centre of the servers.
        service: Service of the servers.
        count: Total number of backend servers wanted.
        fencing_number: Epoch of the lease.
        new_id: Intent id to use for a new order.
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
    """Returns the orders that the platform has not confirmed.

    Args:
        intents: Intents recorded under the lease.
        fencing_number: Epoch of the lease.
    """
    unconfirmed = [i for i in intents if not i.done]
    return [_reissue(intent, fencing_number) for intent in unconfirmed]


def _reissue(intent: Intent, fencing_number: int) -> IntendedOrder:
    order = decode_json(intent.body, type=CapacityOrder)
    return IntendedOrder(
        order=msgspec.structs.replace(order, fencing_number=fencing_number),
        intent=intent,
    )
