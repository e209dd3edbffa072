package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/reach"
)

// windowConn blocks its writer after some bytes, like a link with a small window whose other end
// does not read.
type windowConn struct {
	net.Conn
	left   int
	closed chan struct{}
	once   sync.Once
}

func (c *windowConn) Write(p []byte) (int, error) {
	n := min(len(p), c.left)
	m, err := c.Conn.Write(p[:n])
	c.left -= m
	if err != nil || n == len(p) {
		return m, err
	}
	<-c.closed
	return m, net.ErrClosed
}

func (c *windowConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// smallWindows makes connections to targets block the writer after 8 KiB.
func (w *fixture) smallWindows() {
	client := forward.NewClient(forward.Config{EchoHeader: hID, SkipMismatched: true, AllowCloseDelimited: true,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &windowConn{Conn: c, left: 8 << 10, closed: make(chan struct{})}, nil
		}})
	w.t.Cleanup(client.Close)
	w.server.cfg.Client = reach.NewClient(reach.Config{Client: client})
}

// respondEarly handles a connection by responding after the header, without reading the body. If
// response is empty, it resets the connection instead.
func respondEarly(response string) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReaderSize(c, 16))
		if err != nil {
			return
		}
		if response == "" {
			_ = c.(*net.TCPConn).SetLinger(0) // Close resets the connection
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", response, hID, r.Header.Get(hID))
		time.Sleep(3 * time.Second)
	}
}

// shedResponse is the response of a target that sheds a request.
const shedResponse = "503 x\r\n" + hNotRun + ": 1"

// earlyResponses are the responses of targets that do not read the body, and the status that the
// caller gets.
var earlyResponses = map[string]struct {
	response string
	want     int
}{"sheds": {shedResponse, http.StatusServiceUnavailable}, "resets": {"", http.StatusBadGateway}}

// TestCompleteBodyWithEarlyResponse guards against requests without an answer when the caller has
// sent its whole body and the targets shed the request or reset its connection before they have
// read it. The aborted read of that body was mistaken for the caller's leaving.
func TestCompleteBodyWithEarlyResponse(t *testing.T) {
	for name, tt := range earlyResponses {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			w.smallWindows()
			w.addRaw("i-1", "fd-e", respondEarly(tt.response))
			w.addRaw("i-2", "fd-e", respondEarly(tt.response))
			resp, _, err := w.send(http.MethodPost, "/safe/x", strings.Repeat("x", maxBufferedBody-1))
			if err != nil || resp.StatusCode != tt.want {
				t.Fatalf("%v %v, want %d", resp, err, tt.want)
			}
		})
	}
}

// TestStalledBodyWithEarlyResponse guards against an answer that is held back until the rest of the
// body has arrived, or never sent, when the target ends the request while the caller is still
// sending.
func TestStalledBodyWithEarlyResponse(t *testing.T) {
	for name, tt := range earlyResponses {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			w.addRaw("i-1", "fd-e", respondEarly(tt.response))
			resp, err := http.ReadResponse(w.stalledUpload("/once/a", maxBufferedBody, 4*maxBufferedBody), nil)
			if err != nil || resp.StatusCode != tt.want {
				t.Fatalf("%v %v, want %d", resp, err, tt.want)
			}
		})
	}
}

// TestConnectionAfterEarlyResponse checks that, when a target responds before it has read the body,
// the caller's connection is either closed with the answer or carries its next request.
func TestConnectionAfterEarlyResponse(t *testing.T) {
	w := newFixture(t)
	w.smallWindows()
	w.addRaw("i-1", "fd-e", respondEarly("200 OK\r\n"+hSeal+": s"))
	c, err := net.Dial("tcp", w.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	for i := range 2 {
		body := strings.Repeat("x", maxBufferedBody-1)
		fmt.Fprintf(c, "POST /safe/a HTTP/1.1\r\nHost: host.example\r\n%s: r-%d\r\n%s: %s\r\n%s: 5000\r\nContent-Length: %d\r\n\r\n%s",
			hID, i, hKey, testKey, hTimeout, len(body), body)
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %v %v", i, resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.Close {
			return
		}
	}
}

// TestAnswerBeforeLongUploadHasEnded guards against an answer that its caller loses because the connection is closed with
// bytes of the body unread, which resets it (LOST).
func TestAnswerBeforeLongUploadHasEnded(t *testing.T) {
	w := newFixture(t)
	w.addRaw("i-1", "fd-e", respondEarly("200 OK\r\n"+hSeal+": s"))
	const uploads, bytes = 30, 8 << 20
	body := strings.Repeat("x", bytes)
	lost := 0
	for range uploads {
		client := &http.Client{Transport: &http.Transport{}}
		r, err := http.NewRequest(http.MethodPost, w.front.URL+"/once/a", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "host.example"
		for name, value := range map[string]string{hID: "r", hKey: testKey, hTimeout: "5000"} {
			r.Header.Set(name, value)
		}
		resp, err := client.Do(r)
		if err != nil {
			lost++
			t.Log(err)
			continue
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("status %d", resp.StatusCode)
		}
		client.CloseIdleConnections()
	}
	if lost > 0 {
		t.Errorf("%d of %d uploads got no answer", lost, uploads)
	}
}

// TestSmallBodiesAreAlwaysAnswered guards against a race that left about one request in a thousand
// without an answer when its target reset the connection at once.
func TestSmallBodiesAreAlwaysAnswered(t *testing.T) {
	const requests = 1500
	for name, handle := range map[string]func(net.Conn){
		"resets at once": func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
		"sheds at once":  respondEarly(shedResponse + "\r\nConnection: close"),
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			w.fleet.retries.Floor = requests
			w.state.Accounts[testAccount].Rate = 0
			w.addRaw("i-1", "fd-e", handle)
			w.addRaw("i-2", "fd-e", handle)
			for i := range requests {
				if _, _, err := w.send(http.MethodPost, "/once/x", strings.Repeat("x", 300)); err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
				for _, l := range w.targets.Snapshot().Pools[testPool]["east"] {
					l.RecordResponse(true, time.Now()) // keeps them from becoming suspect
				}
			}
		})
	}
}
