package entry

import (
	"io"
	"net/http"
	"time"
)

const (
	// maxDrainBytes is the largest request body that is read and discarded to keep
	// the connection open; drainTimeout bounds the time to read it.
	maxDrainBytes = 256 << 10
	drainTimeout  = 5 * time.Second
)

// respond sends a complete response at once. Without full duplex, net/http would delay
// it until the caller has sent its body.
func respond(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	unread := r.Body != nil && r.Body != http.NoBody && w.Header().Get("Connection") != "close"
	if unread && !drainable(r) {
		w.Header().Set("Connection", "close")
		unread = false
	}
	control := http.NewResponseController(w)
	if unread {
		// Fails only if there is no connection to keep open.
		_ = control.EnableFullDuplex()
	}
	w.WriteHeader(status)
	// A write fails only if the caller has disconnected.
	_, _ = w.Write(body)
	if unread {
		drain(control, r)
	}
}

// drainable reports whether the rest of the request may be read and discarded. It may not
// if the caller waits for "100 Continue", because reading the body would send that.
func drainable(r *http.Request) bool {
	return r.ContentLength >= 0 && r.ContentLength <= maxDrainBytes && r.Header.Get("Expect") == ""
}

// drain sends the response and then reads the rest of the request. This is not left to
// net/http, which starts to watch the connection at the end of the body and panics if
// it gets there after the handler has returned.
func drain(control *http.ResponseController, r *http.Request) {
	if err := control.Flush(); err != nil {
		return
	}
	_ = control.SetReadDeadline(time.Now().Add(drainTimeout))
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler) // closes the connection
	}
}
