package peek_test

import (
	"net"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/peek"
)

func TestLook(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	pair := func() (near, far net.Conn) {
		far, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		near, err = l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { near.Close(); far.Close() })
		return near, far
	}
	expect := func(when string, c net.Conn, want peek.State) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); peek.Look(c) != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Errorf("%s: state %d, want %d", when, peek.Look(c), want)
				return
			}
		}
	}
	near, far := pair()
	expect("nothing sent", near, peek.Empty)
	if _, err := far.Write([]byte("xy")); err != nil {
		t.Fatal(err)
	}
	expect("bytes sent", near, peek.Readable)
	expect("bytes sent, after an earlier look", near, peek.Readable)
	if _, err := near.Read(make([]byte, 2)); err != nil {
		t.Fatal(err)
	}
	expect("bytes read", near, peek.Empty)
	far.Close()
	expect("closed by the peer", near, peek.Closed)
	near, far = pair()
	_ = far.(*net.TCPConn).SetLinger(0)
	far.Close()
	expect("reset by the peer", near, peek.Closed)
	near, _ = pair()
	near.Close()
	expect("closed locally", near, peek.Closed)
	piped, _ := net.Pipe()
	expect("not a socket", piped, peek.Unknown)
}
