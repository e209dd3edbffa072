package ingress

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/reach"
	"crocusramp.dev/crocusramp/pkg/target"
)

// evidence is what a failed exchange proves about its target.
type evidence int

const (
	// noEvidence: the caller, this VM or the path is at fault.
	noEvidence evidence = iota
	// connectionFailed: the target's host ended the connection, so it responds at the TCP level. Other
	// connections may work: a target resets those beyond its limit, and those that were idle for too long.
	connectionFailed
	// connectionRefused: nothing listens at the target's address. Connections that are open show themselves
	// whether the process has exited.
	connectionRefused
	// targetSilent: the target's host did not respond at the TCP level. Other connections are silent too,
	// unless the target has responded on one meanwhile.
	targetSilent
)

func (e evidence) String() string {
	switch e {
	case connectionFailed:
		return "connection_failed"
	case connectionRefused:
		return "connection_refused"
	case targetSilent:
		return "target_silent"
	default:
		return "none"
	}
}

// localErrors are the errors of system calls that this VM fails itself.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM,
}

// evidenceOf returns what a failure proves. via is the peer through which the connection went, or empty. A
// peer reports why it could not connect to the target; on an open connection through it, silence is the
// peer's.
func evidenceOf(f *forward.Error, via string) evidence {
	switch {
	case f.ContextEnded, errors.Is(f, reach.ErrNoPath), errors.Is(f, forward.ErrCallerBody):
		return noEvidence
	case f.NotConnected && errors.Is(f, syscall.ECONNREFUSED):
		return connectionRefused
	case f.DialTimedOut:
		return targetSilent
	case errors.Is(f, syscall.ETIMEDOUT), errors.Is(f, syscall.EHOSTUNREACH):
		if via != "" && !f.NotConnected {
			return noEvidence
		}
		return targetSilent
	}
	for _, errno := range localErrors {
		if errors.Is(f, errno) {
			return noEvidence
		}
	}
	return connectionFailed
}

// minConnectionSilence is less than the time for which an open connection must be silent to fail with a time-out.
const minConnectionSilence = 500 * time.Millisecond

// handleFailure handles an attempt that got no response. It records what the failure proves about the target.
func (c *call) handleFailure(l *target.Live, f *forward.Error, via string) *attempt {
	t := &attempt{notRun: !f.Wrote, mayHaveArrived: f.Wrote, err: fmt.Errorf("target %s: %w", l.ID, f)}
	proof := evidenceOf(f, via)
	if via == "" && c.s.cfg.Client.CutOff() {
		proof = noEvidence
	}
	c.s.counters.failures[proof].Inc(1)
	suspect, unreachable := false, false
	switch proof {
	case noEvidence:
		return t
	case connectionRefused:
		suspect = l.RecordRefusedConnection()
	case connectionFailed:
		if f.ConnectionClosed && c.s.hasExited(l) {
			c.reportDeath(l)
			return t
		}
		suspect = l.RecordFailure(false)
	case targetSilent:
		since := c.sentAt
		if recent := time.Now().Add(-minConnectionSilence); !f.NotConnected && recent.After(since) {
			since = recent
		}
		unreachable = !l.RespondedSince(since)
		suspect = l.RecordFailure(unreachable)
	}
	if suspect {
		c.s.cfg.Log.Warn().Str("request", c.info.ID).Str("target", l.ID).Str("address", l.Address).Str("via", via).
			Err(f.Err).Stringer("evidence", proof).Bool("unreachable", unreachable).Msg("target is now suspect")
	}
	return t
}
