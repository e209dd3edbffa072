package dispatch

import "sync/atomic"

// links bounds the requests that run in other regions for this VM, over all
// pools, so that hand-overs leave bandwidth to others.
type links struct {
	requests int
	running  map[string]*atomic.Int64
}

func newLinks(requests int, regions []string) *links {
	l := &links{requests: requests, running: map[string]*atomic.Int64{}}
	for _, r := range regions {
		l.running[r] = &atomic.Int64{}
	}
	return l
}

// open reports whether one more request may go to the region. The given number
// of VMs of this region have equal parts of the link; a silent VM keeps its part.
func (l *links) open(region string, vms int) bool {
	running := l.running[region]
	return running != nil && running.Load() < int64(max(1, l.requests/vms))
}

func (l *links) add(region string, n int64) {
	if running := l.running[region]; running != nil {
		running.Add(n)
	}
}
