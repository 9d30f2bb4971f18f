// Bookings, arrivals, payments: each runs at most once.
fn plan(request) {
    if request.method == "GET" || request.method == "HEAD" {
        return route("orders").deadline(2000).repeatable();
    }
    // A keeper's change goes on when the phone loses its signal.
    route("orders").deadline(8000).priority(9).finish_without_caller()
}
