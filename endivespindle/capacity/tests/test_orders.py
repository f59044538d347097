"""Order numbers, and orders that a new lease holder reissues."""

from endivespindle.capacity.orders import next_order, unconfirmed_orders


def _next(intents, count, epoch, new_id):
    return next_order(
        intents=intents,
        data_centre="d",
        service="s",
        count=count,
        fencing_number=epoch,
        new_id=new_id,
    )


def test_new_holder_reissues_the_same_intent_under_its_own_epoch():
    first = _next([], 5, 1, "i1")
    again = _next([first.intent], 9, 2, "i2")
    assert again.intent == first.intent
    assert again.order.intent_id == "i1"
    assert again.order.number == first.order.number
    assert again.order.count == 5
    assert again.order.fencing_number == 2
    assert unconfirmed_orders([first.intent], fencing_number=2) == [again]


def test_order_after_a_confirmed_intent_gets_the_next_number():
    first = _next([], 5, 1, "i1")
    first.intent.done = True
    second = _next([first.intent], 9, 1, "i2")
    assert (second.order.number, second.order.count) == (2, 9)
    assert unconfirmed_orders([first.intent], fencing_number=1) == []
