// Package fault injects faults into the stand-ins for the platform: outages,
// delays, throttling, lost responses to writes that took effect, and conflicts.
package fault

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"crocusramp.dev/crocusramp/pkg/standin/internal/admin"
)

// Path is the endpoint of an HTTP stand-in's faults: GET returns them, POST
// replaces them, DELETE clears them.
const Path = "/fault"

// Down is how a service that is down responds to requests.
type Down string

// The values of Down.
const (
	// DownNone means that the service is up.
	DownNone Down = ""
	// DownRefuse responds with 503.
	DownRefuse Down = "refuse"
	// DownClose closes the connection without a response.
	DownClose Down = "close"
	// DownSilent never responds.
	DownSilent Down = "silent"
)

// Duration is a time.Duration that is encoded in JSON as a string such as
// "250ms".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler. It accepts only strings with a
// unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("duration must be a string such as \"250ms\": %w", err)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// Faults holds the faults of a service. The zero value is a healthy service.
type Faults struct {
	Down Down `json:"down,omitempty"`
	// Delay is the time before a request is executed. The request takes effect
	// even if its client has given up by then.
	Delay Duration `json:"delay,omitempty"`
	// Throttle refuses every request before it has any effect, like a service
	// over its provisioned rate.
	Throttle bool `json:"throttle,omitempty"`
	// ReadRate and WriteRate limit the reads and the written items per second;
	// requests above them are throttled. 0 means unlimited.
	ReadRate  float64 `json:"read_rate,omitempty"`
	WriteRate float64 `json:"write_rate,omitempty"`
	// LoseResponses is how many of the next writes take effect without a response.
	LoseResponses int `json:"lose_answers,omitempty"`
	// LoseResponseRate is the fraction of writes, 0 to 1, whose response is lost.
	LoseResponseRate float64 `json:"lose_rate,omitempty"`
	// Conflicts is how many of the next writes are refused as if another
	// transaction held the same items.
	Conflicts int `json:"conflicts,omitempty"`
	// ConflictRate is the fraction of writes, 0 to 1, that are refused with a
	// conflict.
	ConflictRate float64 `json:"conflict_rate,omitempty"`
	// Seed seeds the random generator behind LoseResponseRate and ConflictRate.
	Seed uint64 `json:"seed,omitempty"`
}

// Injector holds the faults of one service. It is safe for concurrent use.
type Injector struct {
	mu     sync.Mutex
	faults Faults
	rng    *rand.Rand
	reads  tokenBucket
	writes tokenBucket
}

// NewInjector returns an Injector without faults.
func NewInjector() *Injector {
	i := &Injector{}
	i.Set(Faults{})
	return i
}

// Set replaces all faults.
func (i *Injector) Set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	now := time.Now()
	i.reads, i.writes = newTokenBucket(f.ReadRate, now), newTokenBucket(f.WriteRate, now)
	i.rng = rand.New(rand.NewPCG(f.Seed, f.Seed))
}

// Faults returns the current faults. Fields that count requests hold how many
// remain.
func (i *Injector) Faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// ThrottleRead reports whether a read must be throttled.
func (i *Injector) ThrottleRead() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults.Throttle || !i.reads.take(1, time.Now())
}

// ThrottleWrite reports whether a write of n items must be throttled.
func (i *Injector) ThrottleWrite(n int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults.Throttle || !i.writes.take(n, time.Now())
}

// LoseResponse reports whether the response to the write that was just executed
// must be lost. It decrements LoseResponses if that is above 0.
func (i *Injector) LoseResponse() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.occurs(&i.faults.LoseResponses, i.faults.LoseResponseRate)
}

// Conflict reports whether the next write must be refused with a conflict. It
// decrements Conflicts if that is above 0.
func (i *Injector) Conflict() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.occurs(&i.faults.Conflicts, i.faults.ConflictRate)
}

// occurs reports whether a fault occurs: as long as *count is above 0, which it
// decrements, and after that at random with probability rate.
func (i *Injector) occurs(count *int, rate float64) bool {
	if *count > 0 {
		*count--
		return true
	}
	return rate > 0 && i.rng.Float64() < rate
}

// Wrap returns a handler that serves Path itself, and applies Delay and Down to
// all other requests before it passes them to next.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	faultsHandler := admin.DocumentHandler(i.Faults, i.Set)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == Path {
			faultsHandler.ServeHTTP(w, r)
			return
		}
		f := i.Faults()
		time.Sleep(time.Duration(f.Delay))
		switch f.Down {
		case DownRefuse:
			http.Error(w, "service unavailable", http.StatusServiceUnavailable)
		case DownClose:
			admin.CloseConnection(w)
		case DownSilent:
			// net/http notices a closed connection, and ends the context, only after
			// the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		default:
			next.ServeHTTP(w, r)
		}
	})
}
