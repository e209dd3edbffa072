package dispatch

import (
	"context"
	"testing"
)

// BenchmarkAcquire measures the grant of a local target and its release, in a region with
// 20 targets.
func BenchmarkAcquire(b *testing.B) {
	f := newFleet()
	c := f.schedulerConfig()
	c.Pools[0].Targets = targets("east", 20, 9)
	s := NewScheduler(c)
	r := f.request("")
	b.ReportAllocs()
	for b.Loop() {
		g, refusal := s.Acquire(context.Background(), r)
		if refusal != nil {
			b.Fatal(refusal)
		}
		g.Release(done)
	}
}

// BenchmarkAcquireParallel measures the same on all processors in parallel.
func BenchmarkAcquireParallel(b *testing.B) {
	f := newFleet()
	c := f.schedulerConfig()
	c.Pools[0].Targets = targets("east", 20, 9)
	s := NewScheduler(c)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		r := f.request("")
		for pb.Next() {
			if g, refusal := s.Acquire(context.Background(), r); refusal == nil {
				g.Release(done)
			}
		}
	})
}
