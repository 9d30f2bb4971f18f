// Mosaics for land offices and alert teams.
fn plan(request) {
    if request.method != "GET" && request.method != "HEAD" {
        return refuse(405, "only reading is offered here");
    }
    route("downloads").deadline(30000).repeatable().attempts(3).caller_limit(6)
}
