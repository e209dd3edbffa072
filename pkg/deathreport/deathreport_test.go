package deathreport

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/peer"
	"crocusramp.dev/crocusramp/pkg/quarantine"
)

// peers is a member view of other VMs.
type peers []member.Peer

func (p peers) View() *member.View { return &member.View{Peers: p} }

var fingerprint = quarantine.NewFingerprint(quarantine.BaseHash{1}, []byte("body"))

// TestDeathsReachThePeers checks that a death that one VM reports makes a request suspect on the
// others, also on a leaving VM, and that a VM that does not answer delays no other.
func TestDeathsReachThePeers(t *testing.T) {
	receiver := New(Config{List: quarantine.NewList(quarantine.Config{}), Members: peers{}, Log: zerolog.Nop()})
	mux := http.NewServeMux()
	mux.Handle(receiver.Handler())
	server := httptest.NewServer(mux)
	defer server.Close()
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	sender := New(Config{
		List: quarantine.NewList(quarantine.Config{}), PeerDialer: peer.NewDialer(nil), Log: zerolog.Nop(),
		Members: peers{{ID: "silent", State: member.Silent, PeerAddress: silent.Addr().String()}, {ID: "other", State: member.Leaving, PeerAddress: address}},
	})
	for i, id := range []string{"a@1", "b@1", "b@1"} {
		if got := sender.Report(fingerprint, quarantine.Death{ID: id, Target: id[:1], Prior: min(i, 1)}); got != (i < 2) {
			t.Errorf("report %d: suspect %v", i, got)
		}
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		c, _ := receiver.cfg.List.Find(fingerprint)
		if c.Quarantined && len(c.Deaths) == 2 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the other VM knows %+v", c)
		}
	}
}

// TestMalformedReports checks that a malformed report fails and changes nothing.
func TestMalformedReports(t *testing.T) {
	hash := make([]byte, 32)
	death := []*peerpb.Death{{Id: "a@1", Target: "a"}}
	for name, s := range map[string]*peerpb.Suspect{
		"short base":           {Base: hash[:3], PrefixHash: hash, Deaths: death},
		"no prefix hash":       {Base: hash, Deaths: death},
		"negative prefix":      {Base: hash, PrefixHash: hash, PrefixBytes: -1, Deaths: death},
		"prefix too large":     {Base: hash, PrefixHash: hash, PrefixBytes: 1 << 30, Deaths: death},
		"death without target": {Base: hash, PrefixHash: hash, Deaths: []*peerpb.Death{{Id: "a@1"}}},
	} {
		list := quarantine.NewList(quarantine.Config{})
		service := New(Config{List: list, Members: peers{}, Log: zerolog.Nop()})
		if _, err := service.ReportDeaths(t.Context(), &peerpb.ReportDeathsRequest{Suspects: []*peerpb.Suspect{s}}); err == nil || !list.Empty() {
			t.Errorf("%s: %v", name, err)
		}
	}
}
