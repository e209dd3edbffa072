package command

import (
	"errors"
	"io"
	"net"
)

// linkArgs are the arguments of a link: a network path between two processes.
// Killing it refuses connections, stopping it with SIGSTOP loses all bytes.
type linkArgs struct {
	serviceArgs
	To string `arg:"--to,required" help:"address that connections are passed on to, as host:port"`
}

// forward passes the connections of l on until l is closed.
func (a *linkArgs) forward(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go a.pass(conn)
	}
}

func (a *linkArgs) pass(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", a.To)
	if err != nil {
		return
	}
	defer to.Close()
	done := make(chan struct{}, 2)
	go copyHalf(to, from, done)
	go copyHalf(from, to, done)
	<-done
	<-done
}

// copyHalf passes one direction on, its end included.
func copyHalf(to, from net.Conn, done chan<- struct{}) {
	_, err := io.Copy(to, from)
	if half, ok := to.(*net.TCPConn); ok && err == nil {
		_ = half.CloseWrite() // the other direction shows the error
	} else {
		to.Close()
		from.Close()
	}
	done <- struct{}{}
}
