package edge

import (
	"testing"

	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/settings"
)

// TestStartingVMTellsNoEarlyEra guards against VMs that start together and take each other for ones that
// have followed the store since before its restore, because none of them has read it yet.
func TestStartingVMTellsNoEarlyEra(t *testing.T) {
	d, err := New(t.Context(), "", &settings.Edge{VM: settings.VM{ID: "vm-0", Region: "east", FailureDomain: "fd-a"}, FailureDomains: map[string]string{"fd-a": "east"}}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	var p member.Peer
	d.fillStatus(&p)
	const era = 1
	if p.KnownSinceEra < era { // the condition of recallLate
		t.Errorf("a VM that has read nothing tells that it has followed the store since era %d", p.KnownSinceEra)
	}
}
