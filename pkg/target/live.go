package target

import (
	"context"
	"math"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// loadReportTTL is how long a reported load is used. Requests take tenths of a
	// second, so an older report is no good measure of the present load.
	loadReportTTL = 700 * time.Millisecond
)

// Live is one incarnation of a target, with its live state as this VM sees it.
// It is safe for concurrent use: all fields are immutable except the atomic ones.
type Live struct {
	Target
	Pool string
	// StartedAt is the start time of the process in Unix milliseconds; 0 if unknown.
	StartedAt int64
	// Hash is a hash of the ID, for rendezvous hashing.
	Hash uint64

	processStart        int64 // instant from which no earlier process of this VM sends requests
	running             atomic.Int32
	peerLoad            atomic.Int32 // requests of other VMs, as of the last reported load
	loadReportedAt      atomic.Int64 // instant of the last reported load, 0 for none
	serviceTime         atomic.Int64 // mean service time in nanoseconds
	coldUntil           atomic.Int64 // instant, 0 for none
	suspect             atomic.Bool
	replaced            atomic.Bool
	exited              atomic.Bool
	leaving             atomic.Bool
	backoffUntil        atomic.Int64 // instant, 0 for none
	nextCold            atomic.Int64 // instant from which this VM may send the next request to the cold target, 0 for none
	consecutiveFailures atomic.Int32
	lastResponse        atomic.Int64 // instant of the last response, 0 for none
	// incompleteStreams counts the consecutive streamed responses that did not complete.
	incompleteStreams atomic.Int32
	acceptRatio       atomic.Uint64 // math.Float64bits of the fraction of the requests that the target runs
	unreachableCtx    atomic.Pointer[unreachableSignal]
	limit             atomic.Pointer[limitState] // nil before the first limit
	// invalidLimit is true once a response had a limit that could not be parsed.
	invalidLimit atomic.Bool
}

// unreachableSignal holds a context that is cancelled when the target is found to be unreachable.
type unreachableSignal struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// epoch is the zero point of instants.
var epoch = time.Now()

// instant returns the nanoseconds from epoch to t on the monotonic clock. The wall
// clock may jump ahead, and a cold target would count as warm too early.
func instant(t time.Time) int64 { return int64(t.Sub(epoch)) }

// BeginRequest counts a request that is sent to the target.
func (l *Live) BeginRequest() { l.running.Add(1) }

// EndRequest counts a request to the target as ended.
func (l *Live) EndRequest() { l.running.Add(-1) }

// Running returns the number of requests that this VM has in flight to the target.
func (l *Live) Running() int { return int(l.running.Load()) }

// RecordLoad records the load that a response reported. The request of that response
// must still count as running.
func (l *Live) RecordLoad(load int, now time.Time) {
	others := max(0, min(load, math.MaxInt32)-max(0, l.Running()-1))
	l.peerLoad.Store(int32(others))
	l.loadReportedAt.Store(instant(now))
}

// Load returns the number of requests that run or wait at the target: those of this
// VM, and those of other VMs as of the last report if it is recent.
func (l *Live) Load(now time.Time) int {
	own := l.Running()
	if at := l.loadReportedAt.Load(); at != 0 && instant(now)-at < int64(loadReportTTL) {
		return own + int(l.peerLoad.Load())
	}
	return own
}

// serviceTimeWeight is the weight of one request in the moving average of a target's
// service time.
const serviceTimeWeight = 0.05

// RecordServiceTime records how long a request took and the load that it met at the target. It
// returns an estimate of how long the request occupied a slot, without its wait for one.
func (l *Live) RecordServiceTime(duration time.Duration, load int) time.Duration {
	queued := max(0, load+1-l.Slots)
	service := float64(duration) / (1 + float64(queued)/float64(l.Slots))
	for {
		old := l.serviceTime.Load()
		mean := service
		if old != 0 {
			mean = float64(old) + serviceTimeWeight*(service-float64(old))
		}
		if l.serviceTime.CompareAndSwap(old, int64(mean)) {
			return time.Duration(service)
		}
	}
}

// ServiceTime returns the mean time for which a request occupies a slot; 0 is unknown.
func (l *Live) ServiceTime() time.Duration { return time.Duration(l.serviceTime.Load()) }

// Cold reports whether the target may not get its usual request rate yet.
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

// Suspect reports whether the target has failed and has not passed a health check
// since.
func (l *Live) Suspect() bool { return l.suspect.Load() }

// Replaced reports whether another incarnation responds at the address.
func (l *Live) Replaced() bool { return l.replaced.Load() }

// Healthy reports whether the target is neither suspect nor replaced.
func (l *Live) Healthy() bool { return !l.Suspect() && !l.Replaced() }

// Incarnation returns a name for this incarnation of the target, made of its ID and
// start time.
func (l *Live) Incarnation() string { return l.ID + "@" + strconv.FormatInt(l.StartedAt, 36) }

// SetExited records that the target's process has exited, which makes the target suspect. Requests in flight
// continue: a process that leaves refuses new connections before it has answered its last requests. It reports
// whether that was unknown before.
func (l *Live) SetExited() bool {
	first := !l.exited.Swap(true)
	l.RecordRefusedConnection()
	return first
}

// Exited reports whether the target's process is known to have exited.
func (l *Live) Exited() bool { return l.exited.Load() }

// SetReplaced records that another incarnation responds at the address, which ends the
// use of this one.
func (l *Live) SetReplaced() { l.replaced.Store(true) }

// RecordFailure records a request that got no response. It reports whether the target
// became suspect because of it, which a single failure causes only if unreachable is
// true.
func (l *Live) RecordFailure(unreachable bool) bool {
	if n := l.consecutiveFailures.Add(1); !unreachable && n < failuresToSuspect {
		return false
	}
	if unreachable {
		if signal := l.unreachableCtx.Swap(nil); signal != nil {
			signal.cancel()
		}
	}
	return !l.suspect.Swap(true)
}

// RecordRefusedConnection records that the target refused a connection, which makes it suspect. Requests in
// flight continue: their connections show whether the process has exited. It reports whether the target
// became suspect because of it.
func (l *Live) RecordRefusedConnection() bool {
	l.consecutiveFailures.Add(1)
	return !l.suspect.Swap(true)
}

// UnreachableContext returns a context that is cancelled when the target is found to be
// unreachable, so that requests waiting for a response can give up.
func (l *Live) UnreachableContext() context.Context {
	if signal := l.unreachableCtx.Load(); signal != nil {
		return signal.ctx
	}
	signal := &unreachableSignal{}
	signal.ctx, signal.cancel = context.WithCancel(context.Background())
	if l.unreachableCtx.CompareAndSwap(nil, signal) {
		return signal.ctx
	}
	signal.cancel()
	return l.UnreachableContext()
}

// SetSuspect makes the target suspect.
func (l *Live) SetSuspect() { l.suspect.Store(true) }

// RecordIncompleteStream records a streamed response that broke off or did not end. It reports
// whether the target became suspect because of it. A target that passes its health check
// afterwards becomes suspect again with the next such response, until a streamed response
// completes.
func (l *Live) RecordIncompleteStream() bool {
	if l.incompleteStreams.Add(1) < failuresToSuspect {
		return false
	}
	l.incompleteStreams.Store(failuresToSuspect - 1)
	return !l.suspect.Swap(true)
}

// RecordCompleteStream records a streamed response that completed.
func (l *Live) RecordCompleteStream() { l.incompleteStreams.Store(0) }

// failuresToSuspect is the number of consecutive requests without a response that
// make a target suspect. Healthy targets lose single responses too.
const failuresToSuspect = 3

// RespondedSince reports whether the target has responded to any request since t.
func (l *Live) RespondedSince(t time.Time) bool {
	at := l.lastResponse.Load()
	return at != 0 && at >= instant(t)
}

// RecordResponse records a response at now, and whether the target ran the request.
func (l *Live) RecordResponse(ran bool, now time.Time) {
	l.consecutiveFailures.Store(0)
	l.lastResponse.Store(instant(now))
	sample := 0.0
	if ran {
		sample = 1
	}
	for {
		old := l.acceptRatio.Load()
		ratio := math.Float64frombits(old)
		if l.acceptRatio.CompareAndSwap(old, math.Float64bits(ratio+acceptWeight*(sample-ratio))) {
			return
		}
	}
}

const (
	// acceptWeight is the weight of one response in the moving average of the fraction of
	// requests that a target runs.
	acceptWeight = 0.1
	// minAcceptRatio is the fraction from which a target that refused a request may get it
	// again.
	minAcceptRatio = 0.25
)

// MayAcceptRetry reports whether a target that has refused a request is likely enough
// to run it on a retry. It is false for a target that is not known to run any requests.
func (l *Live) MayAcceptRetry() bool {
	return math.Float64frombits(l.acceptRatio.Load()) >= minAcceptRatio
}

// ClearSuspicion records a passed health check: the target is no longer suspect. It may have
// restarted in the meantime, so it counts as cold for the given duration.
func (l *Live) ClearSuspicion(cold time.Duration, now time.Time) {
	l.consecutiveFailures.Store(0)
	l.SetCold(cold, now)
	l.exited.Store(false)
	l.suspect.Store(false)
}

// AllowCold reports whether this VM may send a request to the cold target now, and counts it
// as sent if so. interval is the time between two such requests. The first one is allowed an
// interval after this process's start, because the previous process of the VM may have sent
// one just before it ended.
func (l *Live) AllowCold(interval time.Duration, now time.Time) bool {
	at := instant(now)
	for {
		next := l.nextCold.Load()
		if at < l.processStart+int64(interval) || (next != 0 && at < next) {
			return false
		}
		if l.nextCold.CompareAndSwap(next, at+int64(interval)) {
			return true
		}
	}
}
