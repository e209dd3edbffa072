package limit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"crocusramp.dev/crocusramp/pkg/member"
)

// score is the rendezvous hash of an account and a VM.
func score(account, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(account)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(vm)
	return d.Sum64()
}

// home returns the VM where the account's idle shares come together: one of the region that
// is preferred, where one is live. VMs whose views differ may disagree; that costs refusals,
// never safety. It is false where no VM is live.
func (s *Service) home(account string) (member.Peer, bool) {
	view := s.cfg.Members.View()
	near := ""
	if s.cfg.Near != nil {
		near = s.cfg.Near(account)
	}
	best, found := member.Peer{}, false
	var most uint64
	consider := func(p *member.Peer) {
		n := score(account, p.ID)
		nearer := near != "" && p.Region == near && best.Region != near
		farther := near != "" && p.Region != near && best.Region == near
		if !found || nearer || (!farther && (n > most || (n == most && p.ID < best.ID))) {
			best, most, found = *p, n, true
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
	return best, found
}

// Homes returns the IDs of the live VMs, those first where the account's
// limit is most likely at hand.
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
		if c := cmp.Compare(score(account, b), score(account, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ids
}
