package lease

import (
	"slices"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/member"
)

// updateVacant updates the set of slots that may be acquired: those that have no row, were
// released, have a dead holder or have not been renewed for a whole lease.
// readStart is when the last read of the rows began.
func (s *state) updateVacant(view *member.View, readStart clock.Time) {
	for index := range s.slots {
		if !s.isVacant(index, view, readStart) {
			delete(s.vacant, index)
			continue
		}
		if _, ok := s.vacant[index]; !ok {
			s.vacant[index] = readStart
		}
	}
}

// isVacant reports whether the slot may be acquired. A holder that is merely silent keeps
// its slots, because it may be frozen and resume later.
func (s *state) isVacant(index int, view *member.View, readStart clock.Time) bool {
	seen, ok := s.rows[index]
	switch {
	case !ok:
		return true
	case s.isOwn(seen.row):
		return false
	case seen.row.Released:
		return true
	case view.Dead(seen.row.VM, seen.row.Incarnation, seen.since):
		return true
	}
	return !readStart.Before(seen.since.Add(s.duration + s.margin))
}

// placeholderIncarnation stands for the unknown incarnation of a VM that the platform lists
// and that has not answered yet; the VM may be starting.
func placeholderIncarnation(vm string) string { return "unheard:" + vm }

// candidates returns the incarnations among which the slots of a region are divided, in
// order of VM ID: the live VMs of the region or, if there are none, those of all regions.
// If includeUnheard is set, VMs that have not answered yet count as live VMs of every
// region.
func (s *state) candidates(view *member.View, region string, includeUnheard bool) []string {
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
		case includeUnheard && p.State == member.Silent && p.Incarnation == "":
			add(&member.Peer{Incarnation: placeholderIncarnation(p.ID), Region: region})
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

// slotCounts returns how many slots of the region each incarnation holds. Each slot also
// counts for the placeholder incarnation of its VM.
func (s *state) slotCounts(region string) map[string]int {
	n := map[string]int{}
	for index, seen := range s.rows {
		if s.region(index) != region || seen.row.Released {
			continue
		}
		if _, vacant := s.vacant[index]; !vacant {
			n[seen.row.Incarnation]++
			n[placeholderIncarnation(seen.row.VM)]++
		}
	}
	return n
}

// assign assigns each vacant slot to the candidate with the fewest slots of its region, so
// that VMs with the same view agree without exchanging messages. While a fleet starts, it
// also assigns slots to the VMs that have not answered yet. Otherwise the first VM would
// acquire these slots and hand them over, and the new holders would have to wait until
// the requests of the former one have ended.
func (s *state) assign(view *member.View) map[int]string {
	assigned := map[int]string{}
	counts := map[string]map[string]int{}
	for index := range s.slots {
		if _, vacant := s.vacant[index]; !vacant {
			continue
		}
		region := s.region(index)
		if counts[region] == nil {
			counts[region] = s.slotCounts(region)
		}
		n := counts[region]
		chosen := withFewestSlots(s.candidates(view, region, true), n)
		n[chosen]++
		assigned[index] = chosen
	}
	return assigned
}

func withFewestSlots(candidates []string, counts map[string]int) string {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if counts[c] < counts[best] {
			best = c
		}
	}
	return best
}

// chooseReleases starts to release slots of the regions in which a live VM holds at least
// two fewer slots than this one, or in which this VM is not a candidate.
func (s *state) chooseReleases(view *member.View) {
	done := map[string]bool{}
	for index := range s.slots {
		region := s.region(index)
		if done[region] {
			continue
		}
		done[region] = true
		for range s.surplus(view, region) {
			s.releaseOne(region)
		}
	}
}

// surplus returns how many slots of the region this VM should release: half of the
// difference to the candidate with the fewest slots. It returns 0 while the region has
// vacant slots, which will reduce the difference, or slots that this VM is releasing.
func (s *state) surplus(view *member.View, region string) int {
	n := s.slotCounts(region)
	own := n[s.self.Incarnation]
	for index := range s.slots {
		_, vacant := s.vacant[index]
		if (vacant || s.releasing[index]) && s.region(index) == region {
			return 0
		}
	}
	if own == 0 {
		return 0
	}
	candidates := s.candidates(view, region, false)
	if !slices.Contains(candidates, s.self.Incarnation) {
		return own
	}
	least := n[withFewestSlots(candidates, n)]
	for _, c := range candidates {
		// Only one VM releases slots at a time: the first of those with the most slots.
		if n[c] > own || (n[c] == own && c < s.self.Incarnation) {
			return 0
		}
	}
	return (own - least) / 2
}

func (s *state) releaseOne(region string) {
	for index := s.slots - 1; index >= 0; index-- {
		if _, ok := s.held[index]; ok && s.region(index) == region {
			delete(s.held, index)
			s.releasing[index] = true
			return
		}
	}
}
