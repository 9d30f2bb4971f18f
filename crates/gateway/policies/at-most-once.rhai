// Requests that may run once: they go to another target only if none can have run them.
fn plan(request) {
    let offer = request.offer;
    route(offer.service)
        .deadline(offer.millis)
        .attempts(offer.attempts)
        .priority(offer.priority)
}
