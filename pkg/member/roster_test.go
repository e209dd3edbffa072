package member

import (
	"testing"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/storage"
)

func answered(id, incarnation string, sent clock.Time) Probe {
	return Probe{ID: id, Result: ProbeAnswered, Sent: sent, Peer: Peer{ID: id, Incarnation: incarnation}}
}

func TestDead(t *testing.T) {
	listed := []storage.VM{{ID: "b", PeerAddress: "127.0.0.1:9", State: storage.VMLive}}
	tests := map[string]struct {
		probes  []Probe
		removed bool
		since   clock.Time
		want    bool
	}{
		"answers":                     {probes: []Probe{answered("b", "b1", 20)}, since: 10, want: false},
		"another incarnation answers": {probes: []Probe{answered("b", "b2", 20)}, since: 10, want: true},
		"answer older than since":     {probes: []Probe{answered("b", "b2", 5)}, since: 10, want: false},
		"one refusal":                 {probes: []Probe{{ID: "b", Result: ProbeRefused, Sent: 20}}, since: 10, want: false},
		"two refusals": {probes: []Probe{
			{ID: "b", Result: ProbeRefused, Sent: 20}, {ID: "b", Result: ProbeRefused, Sent: 30},
		}, since: 10, want: true},
		"refusals that are not consecutive": {probes: []Probe{
			{ID: "b", Result: ProbeRefused, Sent: 20}, {ID: "b", Result: ProbeFailed, Sent: 25}, {ID: "b", Result: ProbeRefused, Sent: 30},
		}, since: 10, want: false},
		"silence": {probes: []Probe{
			{ID: "b", Result: ProbeFailed, Sent: 20}, {ID: "b", Result: ProbeFailed, Sent: 25}, {ID: "b", Result: ProbeFailed, Sent: 30},
		}, since: 10, want: false},
		"removed from the list": {removed: true, since: 10, want: true},
		"removed before since":  {removed: true, since: 50, want: false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRoster(Peer{ID: "a"})
			r.applyList(listed, 1)
			for _, p := range tt.probes {
				r.applyProbe(p)
			}
			if tt.removed {
				r.applyList(nil, 40)
			}
			if got := r.view().Dead("b", "b1", tt.since); got != tt.want {
				t.Errorf("Dead = %v, want %v", got, tt.want)
			}
		})
	}
}
