// Package clock reads the boot-time clock that leases are measured on.
//
// CLOCK_BOOTTIME advances while the machine is suspended; CLOCK_MONOTONIC does
// not. With CLOCK_MONOTONIC, a VM that the platform had paused would treat a
// lease as valid after its expiry.
package clock

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Time is an instant in nanoseconds since the boot of this machine. It cannot
// be compared with a Time of another machine.
type Time int64

// Add returns the instant d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// Clock returns the current time.
type Clock interface {
	Now() Time
}

// System is the machine's boot-time clock.
type System struct{}

// Now reads CLOCK_BOOTTIME. It panics if that fails, because leases are not safe
// without that clock.
func (System) Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("clock: CLOCK_BOOTTIME: %v", err))
	}
	return Time(ts.Nano())
}

// Fake is a clock for tests that only moves when Advance is called. It is safe for
// concurrent use.
type Fake struct {
	now atomic.Int64
}

// NewFake returns a Fake that starts at the given time.
func NewFake(start Time) *Fake {
	f := &Fake{}
	f.now.Store(int64(start))
	return f
}

// Now returns the fake time.
func (f *Fake) Now() Time { return Time(f.now.Load()) }

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) { f.now.Add(int64(d)) }
