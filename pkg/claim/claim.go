// Package claim ensures that at-most-once requests do not run twice.
//
// A request is identified by its client account, its route and the idempotency key that its caller
// chose. There are two kinds of keys. The key itself shows its kind, so that all retries of a
// request are checked against the same record, whenever they arrive and at whichever VM:
//
//   - A plain key is claimed in the platform's table by a conditional write before the request is
//     dispatched (Store). The record is durable. While the table is unavailable, no request with a
//     plain key runs.
//   - A ticketed key begins with a ticket that one incarnation of one VM issued. The request runs
//     only there, and that process keeps the record in memory (TicketStore), without the table.
//     After the process has ended, the response to every retry is "unknown".
//
// The ticket is a part of the key, not a separate field. Otherwise a request that ran with a ticket
// could be retried without it, and the table, which has no record of the request, would let it run
// a second time.
package claim

import (
	"encoding/json"
	"errors"
	"net/http"
)

// ID identifies an at-most-once request.
type ID struct {
	// Account is empty on open routes.
	Account string
	Route   string
	Key     string
}

// State is the progress of a claimed request.
type State string

// The states of a claim.
const (
	// Running requests were or will be dispatched. If the process that claimed a request ends
	// first, the claim stays Running: the request may have run.
	Running State = "running"
	// Done requests ran. Their Record holds the response if it is small.
	Done State = "done"
	// Incomplete requests were sent to a target, but no complete response arrived.
	Incomplete State = "ended"
	// Released requests did not run and never will. They may be claimed again.
	Released State = "released"
)

// Record is the stored state of one request.
type Record struct {
	// Token is unique to one claim. If the response to a claimer's write was lost, the claimer
	// finds its token in the table if the write took effect.
	Token       string   `json:"token"`
	VM          string   `json:"vm"`
	Incarnation string   `json:"incarnation"`
	State       State    `json:"state"`
	Response    Response `json:"answer,omitzero"`
}

// Response is the stored part of a target's response.
type Response struct {
	Status int `json:"status,omitempty"`
	// Stored reports that Header and Body are the complete response. Otherwise only Status is known.
	Stored bool        `json:"kept,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

var (
	// ErrUnavailable reports that the table could not be read or written. The request was not
	// claimed and must not run.
	ErrUnavailable = errors.New("claims unavailable")
	// errConflict reports that the condition of a write failed.
	errConflict = errors.New("condition failed")
)

func (r *Record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings, integers and bytes can always be encoded as JSON
	}
	return b
}
