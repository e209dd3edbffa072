package ingress

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// stage is the processing stage of a request.
type stage string

// The stages are logged under these names.
const (
	stageAdmission stage = "admission"
	stageBody      stage = "reading_body"
	stagePlacement stage = "placement"
	stageConnect   stage = "connecting"
	stageTarget    stage = "awaiting_target"
	stageAnswer    stage = "delivering"
)

// progress is the stage of a request. It can be read while the request runs.
type progress struct {
	mu     sync.Mutex
	stage  stage
	since  time.Time
	target string // of the last attempt
	reused bool   // the attempt uses a connection that has carried other requests
	// givenUp is set if the request ends because others need its memory.
	givenUp bool
}

// recordSend records that the request is being sent to its target.
func (p *progress) recordSend(reused bool) {
	p.enter(stageTarget, "")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reused = reused
}

// enter records that the request has reached a stage. target is empty if it does not change.
func (p *progress) enter(s stage, target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stage, p.since = s, time.Now()
	if target != "" {
		p.target = target
	}
}

// abandon cancels the request unless its answer is being delivered.
func (c *call) abandon() {
	c.progress.mu.Lock()
	defer c.progress.mu.Unlock()
	if c.progress.stage != stageAnswer {
		c.cancel(errStopping)
	}
}

// inflight is the set of requests in flight.
type inflight struct {
	mu    sync.Mutex
	calls map[*call]struct{}
}

func newInflight() *inflight { return &inflight{calls: map[*call]struct{}{}} }

func (i *inflight) add(c *call) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.calls[c] = struct{}{}
}

func (i *inflight) remove(c *call) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.calls, c)
}

// list returns the requests in flight.
func (i *inflight) list() []*call {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Collect(maps.Keys(i.calls))
}

// count returns the number of requests in flight.
func (i *inflight) count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.calls)
}

// LogRunning writes one log line with the given message for each request in flight. The line
// contains the stage of the request and how long the request has been in it.
func (s *Server) LogRunning(message string) {
	now := time.Now()
	for _, c := range s.inflight.list() {
		c.progress.mu.Lock()
		s.cfg.Log.Warn().Str("request", c.info.ID).Str("path", c.r.URL.Path).Str("stage", string(c.progress.stage)).
			Str("target", c.progress.target).Bool("reused", c.progress.reused).Dur("stage_ms", now.Sub(c.progress.since)).Dur("ms", now.Sub(c.arrived)).Msg(message)
		c.progress.mu.Unlock()
	}
}
