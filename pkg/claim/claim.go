// Package claim keeps at-most-once requests from running twice.
//
// A request is identified by its client account, its route and the
// idempotency key that its caller chose. There are two kinds of keys, and the
// key itself tells which, so that all sendings of a request meet the same
// memory wherever and whenever they arrive:
//
//   - A plain key is claimed in the platform's table by a conditional write
//     before the request is dispatched (Store). Its memory is durable. While
//     the table is down, no request with a plain key runs.
//   - A ticketed key begins with a ticket that one incarnation of one VM
//     issued. The request runs only there, and that process remembers it
//     (Session). It needs no table. When the process has ended, every further
//     sending is answered "unknown".
//
// Were a ticket beside the key in place of within it, a request that ran under
// a ticket could be sent again without one, and the table, which has not heard
// of it, would let it run a second time.
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

// State is how far a claimed request has come.
type State string

// The states of a claim.
const (
	// Running requests were or will be dispatched. The claim of a process that
	// ended stays Running: the request may have run.
	Running State = "running"
	// Done requests ran, and Record holds their answer if it is small.
	Done State = "done"
	// Ended requests were sent to a target whose answer never arrived whole.
	Ended State = "ended"
	// Released requests surely did not run. They may be claimed again.
	Released State = "released"
)

// Record is the memory of one request.
type Record struct {
	// Token is unique to one claim. A claimer whose write's answer was lost
	// finds its token in the table if the write took effect.
	Token       string `json:"token"`
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	State       State  `json:"state"`
	Answer      Answer `json:"answer,omitzero"`
}

// Answer is a target's answer as far as it is kept.
type Answer struct {
	Status int `json:"status,omitempty"`
	// Kept reports that Header and Body are the whole answer.
	Kept   bool        `json:"kept,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

var (
	// ErrUnavailable reports that the table could not be asked. The request
	// was not claimed and must not run.
	ErrUnavailable = errors.New("claims unavailable")
	// errConflict reports that a write's condition failed.
	errConflict = errors.New("condition failed")
)

func (r *Record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings, integers and bytes always have a JSON form
	}
	return b
}
