// Large answers: they may run again, and stay in the data centre where that costs no failure.
fn plan(request) {
    let offer = request.offer;
    route(offer.service)
        .deadline(offer.millis)
        .attempts(offer.attempts)
        .priority(offer.priority)
        .repeatable()
}
