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
		t.Fatal("Call reported an ended loop")
	}
	for i, v := range got {
		if i != v {
			t.Fatalf("event %d ran at place %d", v, i)
		}
	}
	cancel()
	<-ended
	if l.Post(func() {}) && l.Call(context.Background(), func() {}) {
		t.Error("Call ran on an ended loop")
	}
}
