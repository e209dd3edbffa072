package dispatch

import (
	"sync/atomic"

	"crocusramp.dev/crocusramp/pkg/member"
)

// links bounds the requests that run in other regions for this VM, over all
// pools, so that hand-overs leave bandwidth to others.
type links struct {
	self     member.Peer
	requests int
	running  map[string]*atomic.Int64
}

func newLinks(self member.Peer, requests int, regions []string) *links {
	l := &links{self: self, requests: requests, running: map[string]*atomic.Int64{}}
	for _, r := range regions {
		l.running[r] = &atomic.Int64{}
	}
	return l
}

// open reports whether one more request may go to the region. The VMs of a
// region have equal parts of the link; a silent VM keeps its part.
func (l *links) open(region string, view *member.View) bool {
	running := l.running[region]
	if running == nil {
		return false
	}
	vms := 1
	for i := range view.Peers {
		if view.Peers[i].Region == l.self.Region && view.Peers[i].State != member.Gone {
			vms++
		}
	}
	return running.Load() < int64(max(1, l.requests/vms))
}

func (l *links) add(region string, n int64) {
	if running := l.running[region]; running != nil {
		running.Add(n)
	}
}
