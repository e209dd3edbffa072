// Package entry serves callers: it authenticates and admits their requests,
// has a place found for each, forwards it and answers. It also serves the
// requests that other VMs hand over.
//
// # Refusals
//
// A refusal has a JSON body with an outcome. "not_run" means that no target has
// seen, or will see, a byte of the present sending, or that the target said
// itself that it refused before running it: status 429 or 503 with the header
// "X-Shed: not-run". "unknown" is all else. An earlier sending of the same
// idempotency key may have run although the present one did not; where this VM
// remembers one, it answers "unknown". A caller all of whose sendings of a key
// were answered "not_run" may be sure that nothing ran.
//
// # At-most-once routes
//
// A request without an Idempotency-Key is sent to at most one target. With a
// key, all its sendings together are, see package claim: a plain key is claimed
// in the platform's table; a key of the form TICKET/ID, with a ticket from
// /v1/locate, runs on the VM that issued the ticket, also while the table is
// down. A further sending is given the recorded answer if it was small, else a
// refusal with status 409. A request with a key goes on when its caller is
// gone, so that its answer can be recorded.
//
// # What targets see
//
// The caller's request without Authorization and hop-by-hop headers, with
// X-Request-Id (unique to the request; an answer with another one is an error),
// X-Caller-Request-Id (the caller's own id, if it sent one), X-Client-Account
// (percent-encoded), X-Request-Deadline-Ms (what is left) and traceparent. A
// client account key anywhere else in the request line or the header is
// refused. Bodies are streamed and not searched for keys.
//
// # Answers
//
// An answer of up to 64 KiB is read whole before its status goes to the caller.
// A larger one is streamed, and where it is cut, so is the caller's connection.
// An answer with neither a length nor chunks cannot be told from a cut one and
// is an error.
package entry
