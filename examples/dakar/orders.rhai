// Archive orders: each runs at most once.
fn plan(request) {
    if request.method == "GET" || request.method == "HEAD" {
        return route("orders").deadline(2000).repeatable();
    }
    // An order goes on when a cooperative's line drops.
    route("orders").deadline(8000).priority(9).finish_without_caller()
}
