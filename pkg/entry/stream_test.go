package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestEarlyAnswerDoesNotMixRequests has a target answer without reading the
// body, whose rest looks like further requests.
func TestEarlyAnswerDoesNotMixRequests(t *testing.T) {
	v := startVM(t, "vm-1", nil)
	var requests atomic.Int32
	v.addRaw(t, "t1", func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		requests.Add(1)
		io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nlarge")
	})
	smuggled := "GET /open/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
	body := strings.Repeat(smuggled, 400<<10/len(smuggled))
	c, err := net.Dial("tcp", v.callers.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go fmt.Fprintf(c, "POST /lookup/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(resp.Body); string(b) != "large" || err != nil {
		t.Errorf("got %q, %v", b, err)
	}
	if _, err := http.ReadResponse(r, nil); err == nil {
		t.Error("a part of the body was answered as a request")
	}
	if n := requests.Load(); n != 1 {
		t.Errorf("the target saw %d requests", n)
	}
}

// TestStreamsBothWays has a target answer each line as it arrives.
func TestStreamsBothWays(t *testing.T) {
	v := startVM(t, "vm-1", nil)
	v.addTarget(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		if err := control.EnableFullDuplex(); err != nil {
			t.Error(err)
		}
		// Larger than what is read whole, so that the answer begins at once.
		io.WriteString(w, strings.Repeat(" ", wholeBytes)+"\n")
		lines := bufio.NewScanner(r.Body)
		for lines.Scan() {
			fmt.Fprintf(w, "saw %s\n", lines.Text())
			if err := control.Flush(); err != nil {
				return
			}
		}
	})
	sent, send := io.Pipe()
	req, _ := http.NewRequest("POST", v.callers.URL+"/lookup/x", sent)
	req.Header.Set("Authorization", "Bearer "+testKey)
	go io.WriteString(send, "one\n")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	for _, want := range []string{strings.Repeat(" ", wholeBytes), "saw one", "saw two"} {
		line, err := r.ReadString('\n')
		if err != nil || strings.TrimSuffix(line, "\n") != want {
			t.Fatalf("got %.20q, %v", line, err)
		}
		if want == "saw one" {
			io.WriteString(send, "two\n")
		}
	}
	send.Close()
	if rest, err := io.ReadAll(r); err != nil || len(rest) != 0 {
		t.Errorf("got %q, %v", rest, err)
	}
}

// TestCallerGoesAway checks that the target's request is cancelled.
func TestCallerGoesAway(t *testing.T) {
	v := startVM(t, "vm-1", nil)
	arrived, cancelled := make(chan struct{}), make(chan struct{})
	v.addTarget(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "GET", v.callers.URL+"/lookup/x", nil)
	req.Header.Set("Authorization", "Bearer "+testKey)
	go func() {
		<-arrived
		cancel()
	}()
	if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
		resp.Body.Close()
	}
	select {
	case <-cancelled:
	case <-time.After(10 * time.Second):
		t.Error("the target went on")
	}
}

// TestSlowBodyEndsAtDeadline sends a part of a body and then nothing.
func TestSlowBodyEndsAtDeadline(t *testing.T) {
	v := startVM(t, "vm-1", nil)
	v.addTarget(t, "t1", echoTarget("t1"))
	sent, send := io.Pipe()
	defer send.Close()
	go io.WriteString(send, "part")
	req, _ := http.NewRequest("POST", v.callers.URL+"/lookup/x", sent)
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(headerTimeout, "100")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusGatewayTimeout && resp.StatusCode != http.StatusBadRequest {
		t.Errorf("status %d", resp.StatusCode)
	}
}
