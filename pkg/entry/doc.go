// Package entry serves callers: it authenticates and admits their requests,
// has the dispatcher choose a target or a peer for each, forwards it and
// delivers the response. It also serves the requests that other VMs hand over.
//
// # Refusals
//
// A refusal has a JSON body with an outcome. "not_run" means that no target has
// received or will receive a byte of this request, or that the target itself
// reported that it refused the request before running it: status 429 or 503
// with the header "X-Shed: not-run". Every other refusal is "unknown". "not_run"
// covers this request only: an earlier request with the same idempotency key may
// have run. If this VM remembers one, it answers "unknown". If all requests with
// a key were answered "not_run", the caller can be sure that none of them ran.
//
// # At-most-once routes
//
// A request without an Idempotency-Key is sent to at most one target. All
// requests with the same key together are sent to at most one target (see
// package claim): a plain key is claimed in the platform's table; a key of the
// form TICKET/ID, with a ticket from /v1/locate, runs on the VM that issued the
// ticket, even while the table is down. A repeated request gets the recorded
// response if that was small, and otherwise a refusal with status 409. A request
// with a key continues after its caller has disconnected, so that its response
// can be recorded.
//
// # Requests to targets
//
// A target receives the caller's request without Authorization and hop-by-hop
// headers, and with these headers added:
//
//   - X-Request-Id is unique to the request. A response with another ID is an
//     error.
//   - X-Caller-Request-Id is the caller's own request ID, if it sent one.
//   - X-Client-Account is the name of the client account, percent-encoded.
//   - X-Request-Deadline-Ms is the time left to the deadline.
//   - traceparent carries the trace.
//
// A request with a client account key anywhere else in the request line or the
// header is refused. Bodies are streamed and not searched for keys.
//
// # Responses
//
// A response of up to 64 KiB is read completely before its status is sent to the
// caller. A larger one is streamed; if it is truncated, the caller's connection
// is aborted. A response that has neither a length nor chunked encoding cannot be
// distinguished from a truncated one and is an error.
package entry
