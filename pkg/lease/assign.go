package lease

import (
	"slices"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/member"
)

// noteVacant finds the slots that may be taken: those that have no row, were
// released, have a dead holder or have not been renewed for a whole lease.
// readStart is when the last read of the rows began.
func (s *state) noteVacant(view *member.View, readStart clock.Time) {
	for index := range s.slots {
		if !s.free(index, view, readStart) {
			delete(s.vacant, index)
			continue
		}
		if _, ok := s.vacant[index]; !ok {
			s.vacant[index] = readStart
		}
	}
}

// free reports whether the slot may be taken. Silence of the holder is no
// reason: it may be frozen and go on later.
func (s *state) free(index int, view *member.View, readStart clock.Time) bool {
	seen, ok := s.rows[index]
	switch {
	case !ok:
		return true
	case s.mine(seen.row):
		return false
	case seen.row.Released:
		return true
	case view.Dead(seen.row.VM, seen.row.Incarnation, seen.since):
		return true
	}
	return !readStart.Before(seen.since.Add(s.duration + s.margin))
}

// unheard stands for the incarnation of a VM that the platform lists and that
// has not answered yet: it may be about to start.
func unheard(vm string) string { return "unheard:" + vm }

// candidates returns the incarnations among which the slots of a region are
// divided, in order of VM id: its live VMs or, where it has none, all. With
// expected, VMs that have not answered yet count, in every region.
func (s *state) candidates(view *member.View, region string, expected bool) []string {
	var local, all []string
	add := func(p *member.Peer) {
		all = append(all, p.Incarnation)
		if p.Region == region {
			local = append(local, p.Incarnation)
		}
	}
	selfAdded := false
	for i := range view.Peers {
		p := &view.Peers[i]
		if !selfAdded && s.self.ID < p.ID {
			add(&s.self)
			selfAdded = true
		}
		switch {
		case p.State == member.Live:
			add(p)
		case expected && p.State == member.Silent && p.Incarnation == "":
			add(&member.Peer{Incarnation: unheard(p.ID), Region: region})
		}
	}
	if !selfAdded {
		add(&s.self)
	}
	if len(local) > 0 {
		return local
	}
	return all
}

// counts returns how many slots of the region each incarnation has, and each VM
// as long as its incarnation is not known.
func (s *state) counts(region string) map[string]int {
	n := map[string]int{}
	for index, seen := range s.rows {
		if s.region(index) != region || seen.row.Released {
			continue
		}
		if _, vacant := s.vacant[index]; !vacant {
			n[seen.row.Incarnation]++
			n[unheard(seen.row.VM)]++
		}
	}
	return n
}

// assign gives each vacant slot to the candidate with the fewest slots of its
// region, so that VMs of one view agree without a message. A fleet that starts
// leaves slots to the VMs that have not answered yet: what one VM took and
// handed over would have to settle.
func (s *state) assign(view *member.View) map[int]string {
	assigned := map[int]string{}
	counts := map[string]map[string]int{}
	for index := range s.slots {
		if _, vacant := s.vacant[index]; !vacant {
			continue
		}
		region := s.region(index)
		if counts[region] == nil {
			counts[region] = s.counts(region)
		}
		n := counts[region]
		chosen := fewest(s.candidates(view, region, true), n)
		n[chosen]++
		assigned[index] = chosen
	}
	return assigned
}

func fewest(candidates []string, n map[string]int) string {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if n[c] < n[best] {
			best = c
		}
	}
	return best
}

// chooseGiven gives up slots where a live VM has at least two fewer of the
// region than this one, or where this VM is no candidate.
func (s *state) chooseGiven(view *member.View) {
	done := map[string]bool{}
	for index := range s.slots {
		region := s.region(index)
		if done[region] {
			continue
		}
		done[region] = true
		for range s.surplus(view, region) {
			s.giveOne(region)
		}
	}
}

// surplus is how many slots of the region this VM gives up. It gives half of
// the difference to the candidate that has the fewest, unless vacant slots
// will make up for it.
func (s *state) surplus(view *member.View, region string) int {
	n := s.counts(region)
	mine := n[s.self.Incarnation]
	for index := range s.slots {
		_, vacant := s.vacant[index]
		if (vacant || s.giving[index]) && s.region(index) == region {
			return 0
		}
	}
	if mine == 0 {
		return 0
	}
	candidates := s.candidates(view, region, false)
	if !slices.Contains(candidates, s.self.Incarnation) {
		return mine
	}
	least := n[fewest(candidates, n)]
	for _, c := range candidates {
		// One VM gives at a time: the first of those that have the most.
		if n[c] > mine || (n[c] == mine && c < s.self.Incarnation) {
			return 0
		}
	}
	return (mine - least) / 2
}

func (s *state) giveOne(region string) {
	for index := s.slots - 1; index >= 0; index-- {
		if _, ok := s.held[index]; ok && s.region(index) == region {
			delete(s.held, index)
			s.giving[index] = true
			return
		}
	}
}
