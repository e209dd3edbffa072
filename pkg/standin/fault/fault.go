// Package fault makes the stand-ins of the platform fail on demand: down,
// slow, throttled, answers lost after a write took effect, conflicts.
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

// Path is where an HTTP stand-in accepts faults: GET shows them, POST replaces
// them, DELETE clears them.
const Path = "/fault"

// Down says how a service that is down answers.
type Down string

// The ways of being down.
const (
	// DownNo means that the service is up.
	DownNo Down = ""
	// DownRefuse answers 503.
	DownRefuse Down = "refuse"
	// DownClose closes the connection without an answer.
	DownClose Down = "close"
	// DownSilent never answers.
	DownSilent Down = "silent"
)

// Duration is a time.Duration that JSON writes as a string such as "250ms".
type Duration time.Duration

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a string with a unit.
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

// Faults is what is wrong with a service. The zero value is a healthy one.
type Faults struct {
	Down Down `json:"down,omitempty"`
	// Delay passes before a request is executed. The request takes effect
	// even where its client has given up by then.
	Delay Duration `json:"delay,omitempty"`
	// Throttle refuses every request before doing anything, as a service
	// does that is over its provisioned rate.
	Throttle bool `json:"throttle,omitempty"`
	// ReadRate and WriteRate are the reads and the written items a second that
	// are executed; more are throttled. 0 is unbounded.
	ReadRate  float64 `json:"read_rate,omitempty"`
	WriteRate float64 `json:"write_rate,omitempty"`
	// LoseAnswers is how many of the next writes take effect without an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseRate is the part of writes, 0 to 1, whose answer is lost.
	LoseRate float64 `json:"lose_rate,omitempty"`
	// Conflicts is how many of the next writes are refused because of another
	// transaction on the same items.
	Conflicts int `json:"conflicts,omitempty"`
	// ConflictRate is the part of writes, 0 to 1, that are refused so.
	ConflictRate float64 `json:"conflict_rate,omitempty"`
	// Seed starts the generator behind the rates.
	Seed uint64 `json:"seed,omitempty"`
}

// Injector holds the faults of one service. It is safe for concurrent use.
type Injector struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
	reads  capacity
	writes capacity
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
	i.reads, i.writes = newCapacity(f.ReadRate, now), newCapacity(f.WriteRate, now)
	i.random = rand.New(rand.NewPCG(f.Seed, f.Seed))
}

// Faults returns the present faults; counts show what remains of them.
func (i *Injector) Faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// ThrottleRead reports whether a read must be refused.
func (i *Injector) ThrottleRead() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults.Throttle || !i.reads.take(1, time.Now())
}

// ThrottleWrite reports whether a write of n items must be refused.
func (i *Injector) ThrottleWrite(n int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults.Throttle || !i.writes.take(n, time.Now())
}

// LoseAnswer reports whether the answer to the write that was just executed
// must be lost. It uses up one of LoseAnswers.
func (i *Injector) LoseAnswer() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.hit(&i.faults.LoseAnswers, i.faults.LoseRate)
}

// Conflict reports whether the next write must be refused. It uses up one of
// Conflicts.
func (i *Injector) Conflict() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.hit(&i.faults.Conflicts, i.faults.ConflictRate)
}

func (i *Injector) hit(count *int, rate float64) bool {
	if *count > 0 {
		*count--
		return true
	}
	return rate > 0 && i.random.Float64() < rate
}

// Wrap returns a handler that serves Path, applies Down and Delay, and hands
// everything else to next.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	document := admin.Document(i.Faults, i.Set)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == Path {
			document.ServeHTTP(w, r)
			return
		}
		f := i.Faults()
		time.Sleep(time.Duration(f.Delay))
		switch f.Down {
		case DownRefuse:
			http.Error(w, "service unavailable", http.StatusServiceUnavailable)
		case DownClose:
			admin.Drop(w)
		case DownSilent:
			// The server sees that the client has gone once the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		default:
			next.ServeHTTP(w, r)
		}
	})
}
