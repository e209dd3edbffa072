package control

import (
	"context"
	"testing"
)

func TestLoopRunsInOrder(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	l := NewLoop()
	ended := make(chan struct{})
	go func() { l.Run(ctx); close(ended) }()
	var got []int
	for i := range 100 {
		l.Post(func() { got = append(got, i) })
	}
	if !l.Call(ctx, func() {}) {
		t.Fatal("Call returned false on a running loop")
	}
	for i, v := range got {
		if i != v {
			t.Fatalf("function %d ran at position %d", v, i)
		}
	}
	cancel()
	<-ended
	if l.Post(func() {}) && l.Call(context.Background(), func() {}) {
		t.Error("Post and Call returned true on an ended loop")
	}
}
