package forward

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const resetRounds = 200

const (
	unsizedPart = "HTTP/1.1 200 OK\r\n\r\npart"
	chunkedPart = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
	sizedPart   = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart"
)

func resetConn(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// respondDuringUpload serves targets that respond while they read the body, and act on the connection once
// proceed yields. They use TLS if config is set.
func respondDuringUpload(t *testing.T, config *tls.Config, response string, proceed <-chan struct{}, act func(c *net.TCPConn)) (address string) {
	return serveOne(t, func(c net.Conn, reader *bufio.Reader) {
		stream := c
		if config != nil {
			stream = tls.Server(c, config)
			reader = bufio.NewReader(stream)
		}
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		io.WriteString(stream, response)
		go io.Copy(io.Discard, stream)
		<-proceed
		act(c.(*net.TCPConn))
	})
}

// endlessBody yields bytes until it is stopped.
type endlessBody struct{ stopped atomic.Bool }

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.stopped.Load() {
		return 0, io.EOF
	}
	return min(len(p), 256), nil
}

// upload sends a request with an endless body and returns the response.
func upload(ctx context.Context, t *testing.T, c *Client, address string) *Response {
	t.Helper()
	r, body := newRequest(t, address, ""), &endlessBody{}
	r.Method, r.Body, r.ContentLength = http.MethodPost, io.NopCloser(body), -1
	response, failure := c.Do(ctx, r, Options{Address: address, AbortBody: func() { body.stopped.Store(true) }})
	if failure != nil {
		t.Fatal(failure)
	}
	return response
}

// TestResetDuringUploadIsNotComplete guards against a truncated response that looks complete because the write
// of the request's body, and not the read of the response, got the error of the reset.
func TestResetDuringUploadIsNotComplete(t *testing.T) {
	tlsServer := httptest.NewTLSServer(nil) // for its certificate
	defer tlsServer.Close()
	dialTLS := func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&tls.Dialer{Config: &tls.Config{InsecureSkipVerify: true}}).DialContext(ctx, network, address)
	}
	for _, test := range []struct {
		name, part string
		tls        *tls.Config
		dial       func(ctx context.Context, network, address string) (net.Conn, error)
	}{
		{name: "no length", part: unsizedPart},
		{name: "no length, TLS", part: unsizedPart, tls: &tls.Config{Certificates: tlsServer.TLS.Certificates}, dial: dialTLS},
		{name: "chunked", part: chunkedPart},
		{name: "Content-Length", part: sizedPart},
	} {
		t.Run(test.name, func(t *testing.T) {
			proceed := make(chan struct{})
			address := respondDuringUpload(t, test.tls, test.part, proceed, resetConn)
			c := NewClient(Config{AllowCloseDelimited: true, Dial: test.dial})
			defer c.Close()
			complete := 0
			for range resetRounds {
				response := upload(t.Context(), t, c, address)
				proceed <- struct{}{}
				_, err := io.ReadAll(response)
				if err == nil || response.Complete() {
					complete++
				}
				response.Close()
			}
			if complete > 0 {
				t.Errorf("%d of %d truncated responses look complete", complete, resetRounds)
			}
		})
	}
}

// failedWriteConn tells when a write failed.
type failedWriteConn struct {
	*net.TCPConn
	failed chan error
}

func (c failedWriteConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.failed <- err
	}
	return n, err
}

// TestEndAfterFailedWrite guards against mistaking a reset for the end of a response without a length, and
// against rejecting a response that ended before the target reset the connection: the body was still arriving.
func TestEndAfterFailedWrite(t *testing.T) {
	for _, test := range []struct {
		name string
		act  func(c *net.TCPConn)
		want error
	}{
		{"reset", resetConn, syscall.ECONNRESET},
		{"ended, then reset", func(c *net.TCPConn) { c.CloseWrite(); resetConn(c) }, nil},
		{"ended, then closed", func(c *net.TCPConn) { c.CloseWrite(); c.Close() }, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			proceed := make(chan struct{})
			address := respondDuringUpload(t, nil, unsizedPart, proceed, test.act)
			failed := make(chan error, 1)
			c := NewClient(Config{AllowCloseDelimited: true, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return failedWriteConn{c.(*net.TCPConn), failed}, nil
			}})
			defer c.Close()
			for range resetRounds {
				response := upload(t.Context(), t, c, address)
				proceed <- struct{}{}
				writeErr := <-failed
				body, err := io.ReadAll(response)
				if !errors.Is(err, test.want) || response.Complete() != (test.want == nil) || string(body) != "part" {
					t.Fatalf("%q, %v, complete: %v, want %v; the write failed with: %v", body, err, response.Complete(), test.want, writeErr)
				}
				response.Close()
			}
		})
	}
}

// TestEndBeforeBodyIsComplete guards against rejecting a response without a length, or waiting for the body to be
// sent, when the target ended the response before it reads the body.
func TestEndBeforeBodyIsComplete(t *testing.T) {
	const untilWriteBlocks = 100 * time.Millisecond
	done := make(chan struct{})
	defer close(done)
	address := serveOne(t, func(c net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		io.WriteString(c, unsizedPart)
		time.Sleep(untilWriteBlocks)
		c.(*net.TCPConn).CloseWrite()
		<-done
	})
	c := NewClient(Config{AllowCloseDelimited: true})
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
	defer cancel()
	response := upload(ctx, t, c, address)
	defer response.Close()
	if body, err := io.ReadAll(response); err != nil || string(body) != "part" || !response.Complete() {
		t.Errorf("%q, %v, complete: %v", body, err, response.Complete())
	}
	if ctx.Err() != nil {
		t.Error("the response ended only with the request's deadline")
	}
}
