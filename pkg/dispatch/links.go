package dispatch

import "sync/atomic"

// links bounds the requests that this VM has in flight in each other region, over all
// pools, so that hand-overs do not use up the bandwidth between the regions.
type links struct {
	maxRequests int
	running     map[string]*atomic.Int64
}

func newLinks(maxRequests int, regions []string) *links {
	l := &links{maxRequests: maxRequests, running: map[string]*atomic.Int64{}}
	for _, r := range regions {
		l.running[r] = &atomic.Int64{}
	}
	return l
}

// hasCapacity reports whether one more request may go to the region. regionVMs is the
// number of VMs of this VM's region, which have equal shares of the link. A silent VM
// keeps its share.
func (l *links) hasCapacity(region string, regionVMs int) bool {
	running := l.running[region]
	return running != nil && running.Load() < int64(max(1, l.maxRequests/regionVMs))
}

func (l *links) add(region string, n int64) {
	if running := l.running[region]; running != nil {
		running.Add(n)
	}
}
