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

// TestUnreadBodyIsNotParsedAsRequests checks that neither the VM nor the target takes the
// rest of a body for further requests if the target answers without reading the body.
func TestUnreadBodyIsNotParsedAsRequests(t *testing.T) {
	v := startVM(t, "vm-1", nil)
	ended := make(chan struct{})
	defer close(ended)
	var requests atomic.Int32
	v.addRawTarget(t, "t1", func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		requests.Add(1)
		io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nlarge")
		<-ended // closing the connection with unread bytes would reset it
	})
	smuggled := "GET /open/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
	// Larger than all buffers between the caller and the target.
	body := strings.Repeat(smuggled, 32<<20/len(smuggled))
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
		t.Error("a part of the body was answered as a request of its own")
	}
	if n := requests.Load(); n != 1 {
		t.Errorf("the target received %d requests, want 1", n)
	}
}

// TestStreamsBothWays checks full duplex: the target answers each line of the body as it
// arrives.
func TestStreamsBothWays(t *testing.T) {
	v := startVM(t, "vm-1", nil)
	v.addTarget(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		if err := control.EnableFullDuplex(); err != nil {
			t.Error(err)
		}
		// Too large to be buffered, so that the VM sends the response at once.
		io.WriteString(w, strings.Repeat(" ", maxBufferedBytes)+"\n")
		lines := bufio.NewScanner(r.Body)
		for lines.Scan() {
			fmt.Fprintf(w, "saw %s\n", lines.Text())
			if err := control.Flush(); err != nil {
				return
			}
		}
	})
	reader, writer := io.Pipe()
	req, _ := http.NewRequest("POST", v.callers.URL+"/lookup/x", reader)
	req.Header.Set("Authorization", "Bearer "+testKey)
	go io.WriteString(writer, "one\n")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	for _, want := range []string{strings.Repeat(" ", maxBufferedBytes), "saw one", "saw two"} {
		line, err := r.ReadString('\n')
		if err != nil || strings.TrimSuffix(line, "\n") != want {
			t.Fatalf("got %.20q, %v", line, err)
		}
		if want == "saw one" {
			io.WriteString(writer, "two\n")
		}
	}
	writer.Close()
	if rest, err := io.ReadAll(r); err != nil || len(rest) != 0 {
		t.Errorf("got %q, %v", rest, err)
	}
}

// TestCallerDisconnectCancelsRequest checks that the request to the target is cancelled if
// the caller disconnects.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
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
		t.Error("the request to the target was not cancelled")
	}
}

// TestSlowBodyEndsAtDeadline checks that a request whose body stops arriving is refused at
// its deadline.
func TestSlowBodyEndsAtDeadline(t *testing.T) {
	v := startVM(t, "vm-1", nil)
	v.addTarget(t, "t1", echoTarget("t1"))
	reader, writer := io.Pipe()
	defer writer.Close()
	go io.WriteString(writer, "part")
	req, _ := http.NewRequest("POST", v.callers.URL+"/lookup/x", reader)
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

// TestRefusalDoesNotWaitForTheBody checks that requests are refused before their bodies
// arrive.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	v := startVM(t, "vm-1", nil)
	for _, framing := range []string{"Content-Length: 100", "Content-Length: 10000000", "Transfer-Encoding: chunked",
		"Content-Length: 100\r\nExpect: 100-continue"} {
		c, err := net.Dial("tcp", v.callers.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprintf(c, "POST /lookup/x HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n", framing)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusUnauthorized {
			t.Errorf("%q: %v", framing, err)
		}
		c.Close()
	}
}

// TestRefusalKeepsTheConnection checks that a connection is still usable after a request was
// refused with its body unread.
func TestRefusalKeepsTheConnection(t *testing.T) {
	v := startVM(t, "vm-1", nil)
	v.addTarget(t, "t1", echoTarget("t1"))
	c, err := net.Dial("tcp", v.callers.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for _, want := range []int{404, 200, 404, 200} {
		path := map[int]string{404: "/none", 200: "/open/x"}[want]
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody", path)
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != want {
			t.Fatalf("%s: %+v, %v", path, resp, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
	}
}

// TestWithdrawnKeyEndsTransfers checks that withdrawing a key ends an upload and a download
// in flight, and that a new request on an open connection is refused.
func TestWithdrawnKeyEndsTransfers(t *testing.T) {
	v := startVM(t, "vm-1", nil)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	begin := func(method string, body io.Reader) *http.Response {
		req, err := http.NewRequest(method, v.callers.URL+"/lookup/x", body)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	received, continueDownload, uploadErr := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	v.addTarget(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			close(received)
			_, err := io.Copy(io.Discard, r.Body)
			uploadErr <- err
			return
		}
		io.WriteString(w, strings.Repeat("a", 4*maxBufferedBytes))
		_ = http.NewResponseController(w).Flush()
		<-continueDownload
		for range 1000 {
			if _, err := io.WriteString(w, strings.Repeat("b", maxBufferedBytes)); err != nil {
				return
			}
		}
	})
	download := begin("GET", nil)
	defer download.Body.Close()
	if _, err := io.CopyN(io.Discard, download.Body, 4*maxBufferedBytes); err != nil {
		t.Fatal(err)
	}
	reader, writer := io.Pipe()
	uploads := make(chan *http.Response, 1)
	go func() { uploads <- begin("POST", reader) }()
	io.WriteString(writer, "part")
	<-received
	v.source.withdraw("k1")
	close(continueDownload)
	io.WriteString(writer, "more")
	upload := <-uploads
	defer upload.Body.Close()
	writer.Close()
	if upload.StatusCode != http.StatusUnauthorized {
		t.Errorf("the upload ended with status %d", upload.StatusCode)
	}
	if err := <-uploadErr; err == nil {
		t.Error("the target took the truncated upload for a complete one")
	}
	if n, err := io.Copy(io.Discard, download.Body); err == nil {
		t.Errorf("the download continued for %d bytes and looked complete", n)
	}
	if got := begin("GET", nil); got.StatusCode != http.StatusUnauthorized {
		t.Errorf("a new request: status %d", got.StatusCode)
	}
}
