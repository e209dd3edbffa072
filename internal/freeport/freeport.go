// Package freeport finds addresses for servers that tests start.
package freeport

import (
	"fmt"
	"net"
	"os"
	"testing"
)

// host is a loopback address of this process's own: the kernel offers a port again that nobody
// listens on yet, but only to those who bind the same address.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.1.%d.%d", pid>>8&0xff, max(1, pid&0xff))
}

// Address returns a loopback address on which nothing listens.
func Address(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(host(), "0"))
	if err != nil {
		tb.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
