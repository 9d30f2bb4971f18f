// Bed availability and hut information: reads, which may be repeated.
fn plan(request) {
    if request.method != "GET" && request.method != "HEAD" {
        return refuse(405, "only reading is offered here");
    }
    route("availability").deadline(2000).repeatable().attempts(3).caller_limit(40)
}
