package reach

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/target"
)

const (
	// minCheckInterval is the least time between two checks whether this VM is cut off.
	minCheckInterval = time.Second
	// narrowSample is how many targets are dialed first while others respond.
	narrowSample = 2
	// silence is how long no target must have responded to count as silent.
	silence = 300 * time.Millisecond
	// minWaiting is how many requests must wait for a response for silence to start a check.
	minWaiting = 3
	// silenceFactor is how many times the usual interval between two responses must have passed as well.
	silenceFactor = 8
	// returnPeriod is the mean time between two checks whether a VM that is cut off reaches targets
	// again.
	returnPeriod = 700 * time.Millisecond
	// returnTargets is how many targets, in different failure domains, such a check connects to.
	returnTargets = 3
	// minReturnChecks is how many checks in a row must succeed. The number doubles, up to
	// maxReturnChecks, with each cut that follows the last one within flapTime.
	minReturnChecks = 2
	maxReturnChecks = 16
	flapTime        = 30 * time.Second
	// enoughReached is how many targets peers must have reached for a check to wait for no more answers.
	enoughReached = 2
)

// dialResult is the result of a direct connection attempt.
type dialResult struct {
	target       *target.Live
	ok, timedOut bool
}

// findings is what a check found.
type findings struct {
	// domains and reached are the failure domains whose targets were dialed and those that were
	// reached.
	domains, reached int
	// peersReached is how many of the targets that this VM did not reach were reached by peers.
	peersReached int
	// silent is set if most of the failed attempts timed out and no target responded meanwhile.
	silent bool
}

// cutOff decides whether this VM is cut off from all targets. That peers reach none either means that
// the targets are at fault.
func (f findings) cutOff() bool { return f.domains > 0 && f.reached == 0 && f.peersReached > 0 }

// Watch finds out when this VM is cut off from all targets and when it is no longer, until ctx ends.
func (r *Client) Watch(ctx context.Context) {
	var lastReturn time.Time
	needed := minReturnChecks
	ticker := time.NewTicker(silence / 3)
	defer ticker.Stop()
	for {
		select {
		case <-r.checkRequests:
		case now := <-ticker.C:
			if !r.silentTooLong(now) {
				continue
			}
		case <-ctx.Done():
			return
		}
		found := r.check(ctx)
		if !found.cutOff() {
			sleep(ctx, minCheckInterval)
			continue
		}
		needed = returnChecks(needed, lastReturn, time.Now())
		r.beginCut(found)
		r.awaitReturn(ctx, needed)
		lastReturn = time.Now()
	}
}

// silentTooLong reports whether requests wait for responses and none has come for much longer than
// usual.
func (r *Client) silentTooLong(now time.Time) bool {
	usual := time.Duration(r.responseInterval.Load())
	return r.cfg.Peers != nil && r.waiting.Load() >= minWaiting && !r.respondedSince(now.Add(-max(silence, silenceFactor*usual)))
}

// returnChecks returns how many checks must succeed before a cut that begins now counts as over.
func returnChecks(previous int, lastReturn, now time.Time) int {
	if lastReturn.IsZero() || now.Sub(lastReturn) > flapTime {
		return minReturnChecks
	}
	return min(2*previous, maxReturnChecks)
}

// beginCut switches to peers.
func (r *Client) beginCut(f findings) {
	r.cuts.Inc(1)
	r.cutOff.Store(true)
	if f.silent {
		r.linksLost.Swap(newLostSignal()).cancel()
		r.cfg.Client.CloseIdleIn(func(string) bool { return true })
	}
	if r.cfg.OnCutOff != nil {
		r.cfg.OnCutOff()
	}
	r.cfg.Log.Warn().Int("failure_domains", f.domains).Int("reached", f.reached).Int("reached_by_peers", f.peersReached).Bool("silent", f.silent).
		Msg("cut off from all targets; connecting to them through other VMs")
}

// awaitReturn waits until this VM reaches targets again and ends the cut.
func (r *Client) awaitReturn(ctx context.Context, needed int) {
	began := time.Now()
	for good := 0; good < needed; {
		if !sleep(ctx, returnPeriod/2+rand.N(returnPeriod)) {
			return
		}
		f, _ := summarize(r.dialEach(ctx, r.sample(returnTargets)))
		if good++; 2*f.reached < f.domains {
			good = 0
		}
		r.returning.Store(good >= minReturnChecks)
	}
	r.mu.Lock()
	clear(r.bypassed)
	r.mu.Unlock()
	r.cutOff.Store(false)
	r.returning.Store(false)
	r.cfg.Log.Info().Dur("after_ms", time.Since(began)).Int("checks", needed).Msg("targets are reached directly again")
}

// check finds out which targets this VM reaches. While targets respond on open connections, it dials a
// few and is done if one of them accepts. Otherwise it dials a target of each failure domain and asks
// peers about those that this VM does not reach.
func (r *Client) check(ctx context.Context) findings {
	if r.respondedSince(time.Now().Add(-silence)) {
		if f, _ := summarize(r.dialEach(ctx, r.sample(narrowSample))); f.reached > 0 {
			return f
		}
	}
	started := time.Now()
	f, missed := summarize(r.dialEach(ctx, r.sample(0)))
	f.silent = f.silent && !r.respondedSince(started)
	if f.reached > 0 {
		return f
	}
	// A path through a peer is longer. If it takes no less time than the connections that timed out, this
	// VM's own link is slow.
	ctx, cancel := context.WithTimeout(ctx, r.cfg.DialTimeout)
	defer cancel()
	opinions := make(chan opinion, len(missed))
	for _, l := range missed {
		go func() { opinions <- r.askPeers(ctx, l, r.peersForCheck(l)) }()
	}
	for range missed {
		if <-opinions == reached {
			f.peersReached++
		}
		if f.peersReached == enoughReached {
			break // peers that are cut off too answer late
		}
	}
	return f
}

// summarize counts the results of connection attempts to targets in different failure domains, and
// returns the targets that were not reached.
func summarize(results []dialResult) (f findings, missed []*target.Live) {
	f.domains = len(results)
	timedOut := 0
	for _, d := range results {
		if d.ok {
			f.reached++
			continue
		}
		missed = append(missed, d.target)
		if d.timedOut {
			timedOut++
		}
	}
	f.silent = 2*timedOut > len(missed)
	return f, missed
}

// sample returns a random target of each failure domain, of at most n failure domains unless n is 0. The
// targets that are known to have exited are left out.
func (r *Client) sample(n int) []*target.Live {
	return r.sampleOf(n, func(l *target.Live) bool { return !l.Exited() && !l.Replaced() })
}

// sampleOf is like sample for the targets that eligible selects.
func (r *Client) sampleOf(n int, eligible func(l *target.Live) bool) []*target.Live {
	byDomain := map[string][]*target.Live{}
	for _, regions := range r.cfg.Targets().Pools {
		for _, list := range regions {
			for _, l := range list {
				if eligible(l) {
					byDomain[l.FailureDomain] = append(byDomain[l.FailureDomain], l)
				}
			}
		}
	}
	var out []*target.Live
	for _, list := range byDomain {
		out = append(out, list[rand.IntN(len(list))])
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	if n > 0 {
		out = out[:min(n, len(out))]
	}
	return out
}

// dialEach connects to the targets directly and at the same time, and closes the connections again.
func (r *Client) dialEach(ctx context.Context, targets []*target.Live) []dialResult {
	results := make([]dialResult, len(targets))
	var group sync.WaitGroup
	for i, l := range targets {
		group.Go(func() {
			c, err := r.cfg.Client.Dial(ctx, l.Address)
			var netErr net.Error
			results[i] = dialResult{l, err == nil, errors.As(err, &netErr) && netErr.Timeout()}
			if err == nil {
				_ = c.Close() // only its success matters
			}
		})
	}
	group.Wait()
	return results
}

// Exited reports whether a target's process has exited: it refuses the connections of peers or, if none
// can tell, of this VM while other targets accept them.
func (r *Client) Exited(ctx context.Context, l *target.Live) bool {
	usesPeers := r.usesPeers(l)
	if !usesPeers && !r.cfg.Client.RefusesConnections(ctx, l.Address) {
		return false
	}
	if r.cfg.Peers == nil {
		return true
	}
	others := make(chan bool, 1)
	go func() { others <- r.reachesAny(ctx, l.Address) }()
	switch r.askPeers(ctx, l, r.peersFor(l, nil)) {
	case reached:
		if !usesPeers {
			r.recordBypass(l)
			r.requestCheck()
		}
		return false
	case refused:
		return true // peers answer so only if they reach other targets
	default:
		return !usesPeers && <-others
	}
}

// reachesAny reports whether this VM connects to any of a few targets at other addresses, or none is
// listed.
func (r *Client) reachesAny(ctx context.Context, except string) bool {
	f, _ := summarize(r.dialEach(ctx, r.sampleOf(narrowSample, func(l *target.Live) bool { return l.Address != except })))
	return f.reached > 0 || f.domains == 0
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
