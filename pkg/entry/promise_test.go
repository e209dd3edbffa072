package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestTargetStatusPromisesNothing guards against a 408, 421, 429 or 503 of a target that ran the request:
// HTTP clients take these for "not run" and send the request again.
func TestTargetStatusPromisesNothing(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, size := range []int{0, maxBufferedBytes, maxBufferedBytes + 1, 4 * maxBufferedBytes} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprint(status, " ", size, " ", chunked), func(t *testing.T) {
					v := startVM(t, "vm-1", nil)
					v.addTarget(t, "t1", func(w http.ResponseWriter, _ *http.Request) {
						w.Header().Set("Retry-After", "7")
						w.WriteHeader(status)
						if chunked {
							_ = http.NewResponseController(w).Flush()
						}
						io.WriteString(w, strings.Repeat("x", size))
					})
					got := v.send(t, "POST", "/filing/x", "body", headerIdempotencyKey, "")
					if got.err != nil || got.status != http.StatusBadGateway || len(got.body) != size {
						t.Errorf("status %d, %d bytes, %v; want 502 and the target's whole body", got.status, len(got.body), got.err)
					}
					if after := got.header.Get("Retry-After"); after != "" {
						t.Errorf("retry time %q of the target", after)
					}
				})
			}
		}
	}
}

// TestUnprovenShedIsNotBelieved guards against "not run" by a response that may belong to another request, or
// that does not arrive whole.
func TestUnprovenShedIsNotBelieved(t *testing.T) {
	const shed = "HTTP/1.1 503 X\r\nX-Shed: not-run\r\n"
	for name, response := range map[string]string{
		"no request ID": shed + "Content-Length: 2\r\n\r\nno",
		"too long":      shed + "X-Request-Id: %s\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000),
		"cut off":       shed + "X-Request-Id: %s\r\nContent-Length: 10\r\n\r\nno",
	} {
		t.Run(name, func(t *testing.T) {
			v := startVM(t, "vm-1", nil)
			v.addRawTarget(t, "t1", func(c net.Conn) {
				if r := readRequest(t, c); r != nil {
					io.WriteString(c, strings.ReplaceAll(response, "%s", r.Header.Get(headerRequestID)))
				}
			})
			v.addTarget(t, "t2", echoTarget("t2"))
			if got := v.send(t, "POST", "/filing/x", "body", headerIdempotencyKey, ""); got.status != http.StatusBadGateway {
				t.Errorf("status %d %.40q, want 502", got.status, got.body)
			}
		})
	}
}
