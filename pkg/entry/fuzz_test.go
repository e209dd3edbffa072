package entry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"path"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// FuzzPlainPath checks that accepted paths do not change if a target cleans them or
// unescapes them twice.
func FuzzPlainPath(f *testing.F) {
	for _, s := range []string{"/a/b", "/a/../b", "/a/%2e%2e/b", "/a//b", "/a/%252e%252e/b", "/a/.;/b", "/a\\..\\b", "*", ""} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		u, err := url.ParseRequestURI(s)
		if err != nil || !plainPath(u) {
			return
		}
		cleaned := path.Clean(u.Path)
		if strings.HasSuffix(u.Path, "/") && cleaned != "/" {
			cleaned += "/"
		}
		if cleaned != u.Path {
			t.Errorf("%q is %q when cleaned", u.Path, cleaned)
		}
		if again, err := url.PathUnescape(u.Path); err != nil || again != u.Path {
			t.Errorf("%q is %q when unescaped twice", u.Path, again)
		}
	})
}

// FuzzHoldsKey checks that a key is found if it is escaped up to maxUnescapes times.
func FuzzHoldsKey(f *testing.F) {
	f.Add("a", "b", uint8(0))
	f.Add("%41", "%", uint8(2))
	f.Fuzz(func(t *testing.T, before, after string, escapes uint8) {
		s := testKey
		for range escapes % (maxUnescapes + 1) {
			var escaped strings.Builder
			for _, c := range []byte(s) {
				fmt.Fprintf(&escaped, "%%%02x", c)
			}
			s = escaped.String()
		}
		s = before + s + after
		if !holdsKey(s, secretsOf("Bearer "+testKey)) {
			t.Errorf("no key found in %q", s)
		}
	})
}

// FuzzRawRequest sends arbitrary bytes to the callers' listener and checks that the VM
// still serves requests and that no target receives a key.
func FuzzRawRequest(f *testing.F) {
	v := startVM(f, "vm-1", nil)
	var leaked atomic.Bool
	v.addTarget(f, "t1", func(w http.ResponseWriter, r *http.Request) {
		var b strings.Builder
		_ = r.Header.Write(&b)
		if strings.Contains(b.String()+r.RequestURI, "0123456789abcdef") {
			leaked.Store(true)
		}
	})
	f.Add([]byte("GET /lookup/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n\r\n"))
	f.Add([]byte("POST /open HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcd"))
	f.Add([]byte("POST /open HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz"))
	f.Add([]byte("GET /open?" + testKey + " HTTP/1.0\r\nX-Request-Timeout-Ms: 99999999999999999999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := net.Dial("tcp", v.callers.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = c.Write(b)
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = bufio.NewReader(c).ReadByte()
		if leaked.Load() {
			t.Errorf("a target received the key after %q", b)
		}
		if got := v.send(t, "GET", "/lookup/x", ""); got.status != http.StatusOK {
			t.Errorf("the VM answers with status %d after %q", got.status, b)
		}
	})
}
