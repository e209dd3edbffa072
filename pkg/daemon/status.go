package daemon

import (
	"context"
	"slices"
	"strings"

	"google.golang.org/protobuf/types/known/durationpb"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/operator"
)

// Status reports this VM's view of the fleet: its own state as of now, its
// peers' states as of their last heartbeats.
func (d *Daemon) Status(context.Context) (*operatorpb.StatusResponse, error) {
	self := d.members.View().Self
	d.describeSelf(&self)
	vms := append([]member.Peer{self}, d.members.View().Peers...)
	slices.SortFunc(vms, func(a, b member.Peer) int { return strings.Compare(a.ID, b.ID) })
	response := &operatorpb.StatusResponse{
		Vm:       d.self.ID,
		Vms:      operator.VMStatus(vms),
		Regions:  regionStatus(vms),
		Accounts: d.accountStatus(),
	}
	response.Config, response.Store = d.feedStatus()
	d.addPoolStatus(response)
	return response, nil
}

func (d *Daemon) feedStatus() (*operatorpb.ConfigStatus, *operatorpb.StoreStatus) {
	s := d.feed.Status()
	c := &operatorpb.ConfigStatus{Version: s.Version, Fresh: s.Fresh, Relay: s.Relay}
	if s.Age >= 0 {
		c.Age = durationpb.New(s.Age)
	}
	store := &operatorpb.StoreStatus{TableReachable: s.StoreReachable}
	if s.SinceStoreResponse >= 0 {
		store.SinceAnswer = durationpb.New(s.SinceStoreResponse)
	}
	return c, store
}

// regionStatus sums up the pool loads of each region's VMs, sorted by region and
// pool.
func regionStatus(vms []member.Peer) []*operatorpb.RegionStatus {
	type regionPool struct{ region, pool string }
	sums := map[regionPool]*operatorpb.RegionStatus{}
	for _, vm := range vms {
		if vm.State == member.Gone || vm.State == member.Silent {
			continue
		}
		for _, l := range vm.Pools {
			k := regionPool{vm.Region, l.Pool}
			if sums[k] == nil {
				sums[k] = &operatorpb.RegionStatus{Name: k.region, Pool: k.pool}
			}
			sums[k].Permits += int32(l.Permits)
			sums[k].InUse += int32(l.Running)
			sums[k].Queued += int32(l.Queued)
		}
	}
	var out []*operatorpb.RegionStatus
	for _, s := range sums {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *operatorpb.RegionStatus) int {
		if c := strings.Compare(a.GetName(), b.GetName()); c != 0 {
			return c
		}
		return strings.Compare(a.GetPool(), b.GetPool())
	})
	return out
}

func (d *Daemon) accountStatus() []*operatorpb.AccountStatus {
	accounts := d.feed.Snapshot().Accounts
	var out []*operatorpb.AccountStatus
	for _, s := range d.limiter.Shares() {
		counts := d.countedLimiter.counts(s.Account)
		status := &operatorpb.AccountStatus{
			Name: s.Account, Share: s.Rate,
			Admitted: counts.admitted.Load(), Refused: counts.refused.Load(),
		}
		if a := accounts[s.Account]; a != nil {
			status.Rate = a.Rate
		}
		out = append(out, status)
	}
	return out
}

// addPoolStatus adds the shifts and the draining targets to the response.
func (d *Daemon) addPoolStatus(response *operatorpb.StatusResponse) {
	s := d.scheduler.Status()
	for _, p := range s.Pools {
		for _, t := range p.Targets {
			if t.Draining {
				response.LeavingTargets = append(response.LeavingTargets, &operatorpb.TargetStatus{
					Id: t.ID, Pool: p.Name, Region: s.Region, InUse: int32(t.Running),
				})
			}
		}
		for _, shift := range p.Shifts {
			status := &operatorpb.ShiftStatus{
				Name: shift.Name, Pool: shift.Pool, From: shift.From, To: shift.To,
				CapPercent: shift.CapPercent, Seen: shift.Seen, Moved: shift.Shifted,
			}
			if shift.Seen > 0 {
				status.ActualPercent = 100 * float64(shift.Shifted) / float64(shift.Seen)
			}
			response.Shifts = append(response.Shifts, status)
		}
	}
}
