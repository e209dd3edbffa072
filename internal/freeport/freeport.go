// Package freeport finds free addresses for the servers that tests start.
package freeport

import (
	"fmt"
	"net"
	"os"
	"testing"
)

// loopbackHost returns a loopback address derived from the process ID. The kernel may hand out a
// free port again before anybody listens on it, but only to those who bind the same address;
// processes with different addresses therefore do not get each other's ports.
func loopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.1.%d.%d", pid>>8&0xff, max(1, pid&0xff))
}

// Address returns a loopback address on which nothing listens.
func Address(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(loopbackHost(), "0"))
	if err != nil {
		tb.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
