package lab

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
)

// Link is the path from one VM to one worker. The worker knows the VM by it.
type Link struct {
	worker *Worker
	vm     string
	addr   string

	mu       sync.Mutex
	listener *gate
}

// gate is a listener whose connections can be cut.
type gate struct {
	net.Listener
	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

// Accept implements net.Listener. While the link is cut, it resets connections.
func (g *gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		cut := g.cut
		if !cut {
			g.conns[c] = struct{}{}
		}
		g.mu.Unlock()
		if !cut {
			return c, nil
		}
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// AddLink gives a VM a path of its own to the worker.
func (w *Worker) AddLink(vm string) (*Link, error) {
	l, err := listen("127.0.0.1")
	if err != nil {
		return nil, err
	}
	g := &gate{Listener: l, conns: map[net.Conn]struct{}{}}
	w.serve(g, vm)
	return &Link{worker: w, vm: vm, addr: l.Addr().String(), listener: g}, nil
}

// Cut resets the connections of the link and refuses new ones.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	l.listener.mu.Lock()
	defer l.listener.mu.Unlock()
	l.listener.cut = true
	for c := range l.listener.conns {
		reset(c)
	}
}

// View returns the store as a VM sees it that reaches the workers over the links.
func View(links []*Link) StoreView {
	byID := map[string]string{}
	for _, l := range links {
		byID[l.worker.ID] = l.addr
	}
	return ViewOf(byID)
}

// rewriting returns a handler that replaces the workers' addresses in the responses of next.
func rewriting(next http.Handler, addresses map[string]string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		next.ServeHTTP(recorder, r)
		body := replaceAddresses(recorder.Body.Bytes(), addresses)
		maps.Copy(rw.Header(), recorder.Header())
		rw.Header().Del("Content-Length")
		rw.WriteHeader(recorder.Code)
		_, _ = rw.Write(body) // the VM may have closed the connection
	})
}

// replaceAddresses replaces the workers' addresses in a response of the store.
func replaceAddresses(body []byte, byID map[string]string) []byte {
	page, ok := decodePage(body)
	if !ok {
		return body
	}
	rows, _ := page["rows"].([]any)
	for _, row := range rows {
		fields, _ := row.(map[string]any)
		id, _ := fields["key"].(string)
		text, _ := fields["value"].(string)
		address, known := byID[id]
		value, err := base64.StdEncoding.DecodeString(text)
		if fields["table"] != "servers" || !known || err != nil {
			continue
		}
		entry, ok := decodePage(value)
		if !ok {
			continue
		}
		entry["address"] = address
		if value, err = json.Marshal(entry); err == nil {
			fields["value"] = base64.StdEncoding.EncodeToString(value)
		}
	}
	if out, err := json.Marshal(page); err == nil {
		return out
	}
	return body
}

// ViewOf returns the store as a VM sees it that knows the workers with the given IDs at other addresses.
func ViewOf(addresses map[string]string) StoreView {
	return func(next http.Handler) http.Handler { return rewriting(next, addresses) }
}

// decodePage decodes a JSON object and keeps its numbers as they are.
func decodePage(text []byte) (page map[string]any, ok bool) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	err := decoder.Decode(&page)
	return page, err == nil
}
