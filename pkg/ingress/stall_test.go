package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/internal/blackhole"
)

// TestStalledCallerReleasesTarget guards against a target that stays occupied by a response whose
// caller vanished without a reset or stopped reading, until the kernel gives up the caller's connection.
func TestStalledCallerReleasesTarget(t *testing.T) {
	const (
		timeout       = 500 * time.Millisecond
		slack         = time.Second
		responseBytes = 64 << 20
	)
	for _, test := range []struct {
		name     string
		vanishes bool
	}{{"stops reading", false}, {"vanishes", true}} {
		t.Run(test.name, func(t *testing.T) {
			w := newFixture(t)
			released := make(chan struct{})
			w.add("i-1", "fd-e", func(rw http.ResponseWriter, _ *http.Request) {
				defer close(released)
				rw.Header().Set(hSeal, "seal")
				rw.Header().Set("Content-Length", fmt.Sprint(responseBytes))
				chunk := make([]byte, 64<<10)
				for range responseBytes / len(chunk) {
					if _, err := rw.Write(chunk); err != nil {
						return
					}
				}
			})
			c, err := net.Dial("tcp", w.front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			start := time.Now()
			fmt.Fprintf(c, "GET /safe/x HTTP/1.1\r\nHost: host.example\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", hID, newID(), hKey, testKey, hTimeout, timeout.Milliseconds())
			if _, err := io.ReadFull(c, make([]byte, 64)); err != nil {
				t.Fatal(err)
			}
			if test.vanishes {
				if err := blackhole.Drop(c); err != nil {
					t.Fatal(err)
				}
			}
			select {
			case <-released:
				t.Logf("released after %v", time.Since(start).Round(time.Millisecond))
			case <-time.After(timeout + slack):
				t.Errorf("the target is not released %v after the caller's timeout", slack)
			}
		})
	}
}
