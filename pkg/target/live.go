package target

import (
	"context"
	"math"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// loadMemory is how long a reported load is believed. Requests take tenths
	// of a second, so an older report says little.
	loadMemory = 700 * time.Millisecond
)

// Live is one incarnation of a target with what this VM knows of it. Its fields
// are immutable but for the counters, which are safe for concurrent use.
type Live struct {
	Target
	Pool string
	Born int64
	// Hash is a hash of the ID, for rendezvous hashing.
	Hash uint64

	since        int64 // instant from which on no other process of this VM sends
	running      atomic.Int32
	others       atomic.Int32 // requests of other VMs, as of the last report
	reportAt     atomic.Int64 // instant of the report, 0 for none
	service      atomic.Int64 // mean service time in nanoseconds
	coldUntil    atomic.Int64 // instant, 0 for none
	suspect      atomic.Bool
	replaced     atomic.Bool
	ended        atomic.Bool
	leaving      atomic.Bool
	backoffUntil atomic.Int64 // instant, 0 for none
	nextCold     atomic.Int64 // instant from which the next cold request may go, 0 for none
	failures     atomic.Int32
	answered     atomic.Int64 // instant of the last answer, 0 for none
	// unfinished counts the long answers in a row that did not end as they should.
	unfinished atomic.Int32
	runs       atomic.Uint64 // bits of the part of the requests that it runs
	lost       atomic.Pointer[loss]
	limit      atomic.Pointer[limitState] // nil before a limit was named
	// unclear says that an answer named a limit that is none.
	unclear atomic.Bool
}

// loss ends when the target is found to be out of reach.
type loss struct {
	ctx context.Context
	end context.CancelFunc
}

// epoch is where instants are counted from.
var epoch = time.Now()

// instant counts nanoseconds on the steady clock: the time of day may jump, and
// a cold target would count as warm too early.
func instant(t time.Time) int64 { return int64(t.Sub(epoch)) }

// Begin counts a request that is sent to the target, End one that ended there.
func (l *Live) Begin() { l.running.Add(1) }

// End counts a request that ended.
func (l *Live) End() { l.running.Add(-1) }

// Running is how many requests of this VM the target has.
func (l *Live) Running() int { return int(l.running.Load()) }

// Reported takes in the load that an answer told, while the request that was
// answered still counts as running.
func (l *Live) Reported(load int, now time.Time) {
	others := max(0, min(load, math.MaxInt32)-max(0, l.Running()-1))
	l.others.Store(int32(others))
	l.reportAt.Store(instant(now))
}

// Load is the number of requests that run or wait there: this VM's own, and
// those of other VMs as of the last report.
func (l *Live) Load(now time.Time) int {
	own := l.Running()
	if at := l.reportAt.Load(); at != 0 && instant(now)-at < int64(loadMemory) {
		return own + int(l.others.Load())
	}
	return own
}

// serviceWeight is the weight of one request in a target's mean service time.
const serviceWeight = 0.05

// Served notes how long a request took, with the load that it met there. It returns how
// long the request kept a slot, as far as that can be told.
func (l *Live) Served(took time.Duration, load int) time.Duration {
	queued := max(0, load+1-l.Slots)
	service := float64(took) / (1 + float64(queued)/float64(l.Slots))
	for {
		old := l.service.Load()
		mean := service
		if old != 0 {
			mean = float64(old) + serviceWeight*(service-float64(old))
		}
		if l.service.CompareAndSwap(old, int64(mean)) {
			return time.Duration(service)
		}
	}
}

// Service is the mean time that a request keeps a slot; 0 is unknown.
func (l *Live) Service() time.Duration { return time.Duration(l.service.Load()) }

// Cold reports whether the target may not take its usual rate yet.
func (l *Live) Cold(now time.Time) bool {
	until := l.coldUntil.Load()
	return until != 0 && instant(now) < until
}

// SetCold marks the target cold for at least d from now.
func (l *Live) SetCold(d time.Duration, now time.Time) {
	until := instant(now.Add(d))
	for {
		old := l.coldUntil.Load()
		if (old != 0 && until <= old) || l.coldUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// Suspect reports whether the target failed and has not shown since that it
// is well.
func (l *Live) Suspect() bool { return l.suspect.Load() }

// Replaced reports whether another incarnation answers at the address.
func (l *Live) Replaced() bool { return l.replaced.Load() }

// Sound reports whether the target is neither suspect nor replaced.
func (l *Live) Sound() bool { return !l.Suspect() && !l.Replaced() }

// Incarnation names this incarnation of the target.
func (l *Live) Incarnation() string { return l.ID + "@" + strconv.FormatInt(l.Born, 36) }

// SetEnded notes that the target's process has ended, which makes it suspect. It reports whether
// that was not known.
func (l *Live) SetEnded() bool {
	first := !l.ended.Swap(true)
	l.Failed(true)
	return first
}

// Ended reports whether the target's process is known to have ended.
func (l *Live) Ended() bool { return l.ended.Load() }

// SetReplaced takes the target out of use.
func (l *Live) SetReplaced() { l.replaced.Store(true) }

// Failed notes a request that the target did not answer. It reports whether
// the target became suspect by it.
func (l *Live) Failed(unreachable bool) bool {
	if n := l.failures.Add(1); !unreachable && n < failuresToSuspect {
		return false
	}
	if unreachable {
		if x := l.lost.Swap(nil); x != nil {
			x.end()
		}
	}
	return !l.suspect.Swap(true)
}

// Lost returns a context that ends when the target is found to be out of reach, so that
// those who wait for its answer need not wait in vain.
func (l *Live) Lost() context.Context {
	if x := l.lost.Load(); x != nil {
		return x.ctx
	}
	x := &loss{}
	x.ctx, x.end = context.WithCancel(context.Background())
	if l.lost.CompareAndSwap(nil, x) {
		return x.ctx
	}
	x.end()
	return l.Lost()
}

// Unfinished notes a long answer that broke off or did not end. It reports whether the target
// became suspect by it. A target whose health check is good is suspect again with the next one,
// as long as no long answer has ended well.
func (l *Live) Unfinished() bool {
	if l.unfinished.Add(1) < failuresToSuspect {
		return false
	}
	l.unfinished.Store(failuresToSuspect - 1)
	return !l.suspect.Swap(true)
}

// Finished notes a long answer that ended as it should.
func (l *Live) Finished() { l.unfinished.Store(0) }

// failuresToSuspect is the number of lost answers in a row that make a target
// suspect: single answers are lost on sound targets too.
const failuresToSuspect = 3

// AnsweredSince reports whether the target has answered any request since t.
func (l *Live) AnsweredSince(t time.Time) bool {
	at := l.answered.Load()
	return at != 0 && at >= instant(t)
}

// Answered notes that the target answered at now, and whether it ran the request.
func (l *Live) Answered(ran bool, now time.Time) {
	l.failures.Store(0)
	l.answered.Store(instant(now))
	sample := 0.0
	if ran {
		sample = 1
	}
	for {
		old := l.runs.Load()
		mean := math.Float64frombits(old)
		if l.runs.CompareAndSwap(old, math.Float64bits(mean+runsWeight*(sample-mean))) {
			return
		}
	}
}

const (
	// runsWeight is the weight of one answer in the part of the requests that a target
	// runs.
	runsWeight = 0.1
	// minRuns is the part from which a target that refused a request is asked again.
	minRuns = 0.25
)

// MayRun reports whether a target that has refused a request may run it if it is asked
// again. One that is not known to run any does not count.
func (l *Live) MayRun() bool { return math.Float64frombits(l.runs.Load()) >= minRuns }

// Cleared ends the suspicion. The target may have restarted meanwhile, so it
// counts as cold for the given time.
func (l *Live) Cleared(cold time.Duration, now time.Time) {
	l.failures.Store(0)
	l.SetCold(cold, now)
	l.ended.Store(false)
	l.suspect.Store(false)
}

// TakeCold uses this VM's part of the requests that a cold target bears, or
// reports false where it is used up. interval is the time between two of them; the
// process before this one may have sent one just before its end.
func (l *Live) TakeCold(interval time.Duration, now time.Time) bool {
	at := instant(now)
	for {
		next := l.nextCold.Load()
		if at < l.since+int64(interval) || (next != 0 && at < next) {
			return false
		}
		if l.nextCold.CompareAndSwap(next, at+int64(interval)) {
			return true
		}
	}
}
