package entry

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"crocusramp.dev/crocusramp/pkg/member"
)

func locateView(self member.Peer) *member.View {
	self.CallerAddress = "a1"
	return &member.View{Self: self, Peers: []member.Peer{
		{ID: "vm-2", CallerAddress: "a2", Region: "r2", FailureDomain: "d3"},
		{ID: "vm-3", CallerAddress: "a3", Region: "r1", FailureDomain: "d2"},
		{ID: "vm-4", CallerAddress: "a4", Region: "r1", FailureDomain: "d1"},
		{ID: "vm-5", CallerAddress: "a5", Region: "r2", FailureDomain: "d3"},
		{ID: "vm-6", CallerAddress: "a6", Region: "r1", State: member.Leaving},
		{ID: "vm-7", CallerAddress: "a7", Region: "r1", State: member.Silent},
	}}
}

// tiers returns the VM IDs of each tier in the order of the response.
func tiers(vms []locatedVM) map[int][]string {
	m := map[int][]string{}
	for _, vm := range vms {
		m[vm.Tier] = append(m[vm.Tier], vm.ID)
	}
	return m
}

func (v *vm) locate(t *testing.T, headers ...string) []locatedVM {
	t.Helper()
	var response locateResponse
	got := v.send(t, "GET", locatePath, "", headers...)
	if err := json.Unmarshal([]byte(got.body), &response); err != nil {
		t.Fatalf("%s: %v", got.body, err)
	}
	return response.VMs
}

func TestLocateTiers(t *testing.T) {
	v := startVM(t, "vm-1", func(c *Config) {
		c.Homes = func(string) []string { return []string{"vm-5", "vm-3"} }
	})
	v.members.view.Store(locateView(v.members.View().Self))
	anonymous := tiers(v.locate(t, "Authorization", ""))
	slices.Sort(anonymous[0])
	slices.Sort(anonymous[1])
	if diff := cmp.Diff(map[int][]string{0: {"vm-1", "vm-3", "vm-4"}, 1: {"vm-2", "vm-5"}}, anonymous); diff != "" {
		t.Error(diff)
	}
}

func TestLocateUsesRegionOfCallerAddress(t *testing.T) {
	v := startVM(t, "vm-1", func(c *Config) {
		c.RegionOf = func(a netip.Addr) (string, bool) { return "r2", a.IsLoopback() }
	})
	v.members.view.Store(locateView(v.members.View().Self))
	got := tiers(v.locate(t))[0]
	slices.Sort(got)
	if diff := cmp.Diff([]string{"vm-2", "vm-5"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestOrderVMsPutsHomesFirstInTheirTier(t *testing.T) {
	view := locateView(member.Peer{ID: "vm-1", Region: "r1"})
	got := orderVMs(view, "r1", []string{"vm-5", "vm-3", "vm-4", "vm-1", "vm-2"}, rand.New(rand.NewPCG(1, 1)).Float64)
	want := []locatedVM{
		{"vm-3", "a3", 0, homeWeight}, {"vm-4", "a4", 0, 1}, {"vm-1", "a1", 0, 1},
		{"vm-5", "a5", 1, homeWeight}, {"vm-2", "a2", 1, 1},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestOrderVMsWeightsByPermits checks that how often a VM comes first is about
// proportional to its part of the tier's permits.
func TestOrderVMsWeightsByPermits(t *testing.T) {
	view := &member.View{Self: member.Peer{ID: "a", CallerAddress: "x", Region: "r1", Pools: []member.PoolLoad{{Permits: 30}}}}
	view.Peers = []member.Peer{
		{ID: "b", CallerAddress: "x", Region: "r1", Pools: []member.PoolLoad{{Permits: 10}}},
		{ID: "c", CallerAddress: "x", Region: "r2", Pools: []member.PoolLoad{{Permits: 90}}},
	}
	random := rand.New(rand.NewPCG(1, 2)).Float64
	first := map[string]int{}
	const responses = 4000
	for range responses {
		first[orderVMs(view, "r1", nil, random)[0].ID]++
	}
	if first["c"] != 0 || first["a"] < responses*70/100 || first["a"] > responses*80/100 {
		t.Errorf("first VM of %d responses: %v, want 75 %% a, 25 %% b", responses, first)
	}
}
