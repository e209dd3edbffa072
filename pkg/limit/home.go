package limit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"crocusramp.dev/crocusramp/pkg/member"
)

// hashScore returns the rendezvous hash of an account and a VM.
func hashScore(account, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(account)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(vm)
	return d.Sum64()
}

// home returns the home of the account: the VM that collects its idle shares. Live VMs of the
// preferred region come first. VMs with different views may choose different homes; then requests
// may be refused wrongly, but never too many are admitted. It returns false if no VM is live.
func (s *Service) home(account string, view *member.View) (member.Peer, bool) {
	preferred := ""
	if s.cfg.PreferredRegion != nil {
		preferred = s.cfg.PreferredRegion(account)
	}
	home, found := member.Peer{}, false
	var bestScore uint64
	consider := func(p *member.Peer) {
		score := hashScore(account, p.ID)
		nearer := preferred != "" && p.Region == preferred && home.Region != preferred
		farther := preferred != "" && p.Region != preferred && home.Region == preferred
		if !found || nearer || (!farther && (score > bestScore || (score == bestScore && p.ID < home.ID))) {
			home, bestScore, found = *p, score, true
		}
	}
	if view.Self.State == member.Live && !s.stopping.Load() {
		consider(&view.Self)
	}
	for i := range view.Peers {
		if view.Peers[i].State == member.Live {
			consider(&view.Peers[i])
		}
	}
	return home, found
}

// updateHome updates whether this VM is the account's home by the present view. The caller holds a.mu,
// so that no earlier view replaces a later one.
func (s *Service) updateHome(a *account) {
	a.view = s.cfg.Members.View()
	home, ok := s.home(a.budget.name, a.view)
	a.budget.home = ok && home.ID == a.view.Self.ID
}

// Homes ranks all live VMs as homes of the account and returns their IDs. The first is the home if
// no region is preferred; the earlier a VM is in the list, the likelier it holds tokens.
func (s *Service) Homes(account string) []string {
	view := s.cfg.Members.View()
	var ids []string
	if view.Self.State == member.Live && !s.stopping.Load() {
		ids = append(ids, view.Self.ID)
	}
	for i := range view.Peers {
		if view.Peers[i].State == member.Live {
			ids = append(ids, view.Peers[i].ID)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		if c := cmp.Compare(hashScore(account, b), hashScore(account, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ids
}
