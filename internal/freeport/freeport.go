// Package freeport finds free addresses for the servers that tests start.
package freeport

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// loopbackHost returns a loopback address derived from the process ID. The kernel may hand out a
// free port again before anybody listens on it, but only to those who bind the same address;
// processes with different addresses therefore do not get each other's ports.
func loopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.1.%d.%d", pid>>8&0xff, max(1, pid&0xff))
}

// maxAttempts bounds the search for a new address.
const maxAttempts = 1000

// returned holds the addresses that Address has returned. The kernel may choose a port again before
// anybody listens on it.
var returned sync.Map

// Address returns a loopback address on which nothing listens, a different one with each call.
func Address(tb testing.TB) string {
	tb.Helper()
	for range maxAttempts {
		l, err := net.Listen("tcp", net.JoinHostPort(loopbackHost(), "0"))
		if err != nil {
			tb.Fatal(err)
		}
		address := l.Addr().String()
		l.Close()
		if _, used := returned.LoadOrStore(address, true); !used {
			return address
		}
	}
	tb.Fatalf("found no new address in %d attempts", maxAttempts)
	return ""
}
