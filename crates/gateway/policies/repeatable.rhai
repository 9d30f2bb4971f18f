// Requests that may run again: after any failure they go to another target.
fn plan(request) {
    let offer = request.offer;
    route(offer.service)
        .deadline(offer.millis)
        .attempts(offer.attempts)
        .priority(offer.priority)
        .repeatable()
}
