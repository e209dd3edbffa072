package lab

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Host is the host of all routes.
const Host = "office.example"

var attempts atomic.Uint64

// Request is a request of a client.
type Request struct {
	VM           *VM
	Method, Path string
	Key, Object  string
	Body         []byte
	Timeout      time.Duration
	Client       *http.Client
}

// Reply is what the client got.
type Reply struct {
	ID     string
	Sent   time.Duration
	Took   time.Duration
	Status int // 0 without a complete answer
	Seal   string
	Body   []byte
	Err    error
}

// freshClient opens a connection for each request.
var freshClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// Send sends a request and waits for the answer.
func (d *Deployment) Send(q Request) Reply {
	id := fmt.Sprintf("%016x", 0x9c41000000000000+attempts.Add(1))
	out := Reply{ID: id, Sent: d.Now()}
	if q.Timeout == 0 {
		q.Timeout = 2 * time.Second
	}
	if q.Method == "" {
		q.Method = http.MethodGet
	}
	r, err := http.NewRequest(q.Method, "http://"+q.VM.Callers+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		out.Err = err
		return out
	}
	r.Host = Host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(q.Timeout.Milliseconds(), 10))
	if q.Object != "" {
		r.Header.Set("Cookie", "X-Affinity-Key="+q.Object)
	}
	if q.Key != "" {
		r.Header.Set("Authorization", "Bearer "+q.Key)
	}
	client := q.Client
	if client == nil {
		client = freshClient
	}
	copied := *client
	copied.Timeout = q.Timeout
	resp, err := copied.Do(r)
	if err == nil {
		out.Seal = resp.Header.Get("X-Response-Seal")
		out.Body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			out.Status = resp.StatusCode
		}
	}
	out.Err, out.Took = err, d.Now()-out.Sent
	return out
}

// String describes the reply for the record.
func (r Reply) String() string {
	if r.Err != nil {
		return fmt.Sprintf("%s sent at %.3f s: no answer after %.3f s: %v", r.ID, r.Sent.Seconds(), r.Took.Seconds(), r.Err)
	}
	return fmt.Sprintf("%s sent at %.3f s: %d after %.3f s, %d bytes, signature %q", r.ID, r.Sent.Seconds(), r.Status, r.Took.Seconds(), len(r.Body), r.Seal)
}
