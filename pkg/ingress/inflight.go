package ingress

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// stage is how far a request has come.
type stage string

// The stages of a request.
const (
	stageAdmission stage = "admission"
	stageBody      stage = "reading_body"
	stagePlacement stage = "placement"
	stageConnect   stage = "connecting"
	stageTarget    stage = "awaiting_target"
	stageAnswer    stage = "delivering"
)

// progress is a request's stage, readable while the request runs.
type progress struct {
	mu     sync.Mutex
	stage  stage
	since  time.Time
	target string // the last one that it was sent to
	reused bool   // it was sent on a connection that had carried others
}

// sending notes that the request is sent to its target.
func (p *progress) sending(reused bool) {
	p.enter(stageTarget, "")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reused = reused
}

// enter notes that the request has come to a stage; target is empty where it was sent to
// none.
func (p *progress) enter(s stage, target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stage, p.since = s, time.Now()
	if target != "" {
		p.target = target
	}
}

// abandon ends the work on the request, unless its answer is being delivered.
func (c *call) abandon() {
	c.progress.mu.Lock()
	defer c.progress.mu.Unlock()
	if c.progress.stage != stageAnswer {
		c.cancel(errStopping)
	}
}

// inflight holds the requests that run.
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

// list returns the requests that run.
func (i *inflight) list() []*call {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Collect(maps.Keys(i.calls))
}

// count is how many requests run.
func (i *inflight) count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.calls)
}

// LogRunning writes a line for each request that runs: what it waits for and since when.
func (s *Server) LogRunning(message string) {
	now := time.Now()
	for _, c := range s.inflight.list() {
		c.progress.mu.Lock()
		s.cfg.Log.Warn().Str("request", c.info.ID).Str("path", c.r.URL.Path).Str("stage", string(c.progress.stage)).
			Str("target", c.progress.target).Bool("reused", c.progress.reused).Dur("stage_ms", now.Sub(c.progress.since)).Dur("ms", now.Sub(c.arrived)).Msg(message)
		c.progress.mu.Unlock()
	}
}
