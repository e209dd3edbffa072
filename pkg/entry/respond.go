package entry

import (
	"io"
	"net/http"
	"time"
)

const (
	// drainBytes is the largest request body that is read and dropped so that
	// the connection can be kept, drainTimeout how long that may take.
	drainBytes   = 256 << 10
	drainTimeout = 5 * time.Second
)

// respond writes a whole answer at once. Without this, net/http would hold it
// back until the caller has sent its body.
func respond(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	unread := r.Body != nil && r.Body != http.NoBody && w.Header().Get("Connection") != "close"
	if unread && !drainable(r) {
		w.Header().Set("Connection", "close")
		unread = false
	}
	control := http.NewResponseController(w)
	if unread {
		// Fails only where there is no connection to keep.
		_ = control.EnableFullDuplex()
	}
	w.WriteHeader(status)
	// A failed write means that the caller is gone.
	_, _ = w.Write(body)
	if unread {
		drain(control, r)
	}
}

// drainable reports whether the rest of the request may be read and dropped.
// A caller that waits for "100 Continue" must not be told to go on.
func drainable(r *http.Request) bool {
	return r.ContentLength >= 0 && r.ContentLength <= drainBytes && r.Header.Get("Expect") == ""
}

// drain sends the answer and then reads the rest of the request, here and not
// in the server: that starts to watch the connection at the end of the body,
// and panics if the end comes after the handler.
func drain(control *http.ResponseController, r *http.Request) {
	if err := control.Flush(); err != nil {
		return
	}
	_ = control.SetReadDeadline(time.Now().Add(drainTimeout))
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler) // closes the connection
	}
}
