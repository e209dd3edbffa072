package command

import (
	"errors"
	"io"
	"net"
)

// linkArgs holds the arguments of a link, a TCP proxy between two processes that
// simulates network faults: after SIGKILL connections are refused, and after
// SIGSTOP no data gets through.
type linkArgs struct {
	serviceArgs
	To string `arg:"--to,required" help:"address that connections are passed on to, as host:port"`
}

// forward proxies the connections of l until l is closed.
func (a *linkArgs) forward(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go a.proxy(conn)
	}
}

func (a *linkArgs) proxy(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", a.To)
	if err != nil {
		return
	}
	defer to.Close()
	done := make(chan struct{}, 2)
	go copyDirection(to, from, done)
	go copyDirection(from, to, done)
	<-done
	<-done
}

// copyDirection copies one direction of a connection and passes on its end as a
// half-close. It closes both connections after an error.
func copyDirection(to, from net.Conn, done chan<- struct{}) {
	_, err := io.Copy(to, from)
	if tcp, ok := to.(*net.TCPConn); ok && err == nil {
		_ = tcp.CloseWrite() // the other direction reports the error
	} else {
		to.Close()
		from.Close()
	}
	done <- struct{}{}
}
