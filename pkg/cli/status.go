package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
)

type vmCommands struct {
	List *vmList `arg:"subcommand:list" help:"list the VMs of the fleet"`
}

type vmList struct{}

func (*vmList) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.operations.ListVMs(ctx, &operatorpb.ListRequest{})
	if err != nil {
		return nil, err
	}
	return listing(resp, vmGrid(resp.Vms)), nil
}

func vmGrid(vms []*operatorpb.VMStatus) *grid {
	g := newGrid("vm", "region", "failure domain", "state", "config", "slots", "free permits", "callers")
	for _, v := range vms {
		g.add(v.Id, v.Region, v.FailureDomain, v.State, v.ConfigVersion, v.SlotsHeld, v.FreePermits, v.CallerAddress)
	}
	return g
}

// watchPeriod is how often status --watch refreshes.
const watchPeriod = 2 * time.Second

type statusCommand struct {
	Watch bool `arg:"--watch" help:"refresh every 2 s until interrupted"`
}

// watch implements watcher.
func (s *statusCommand) watch() time.Duration {
	if s.Watch {
		return watchPeriod
	}
	return 0
}

func (s *statusCommand) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.operations.Status(ctx, &operatorpb.StatusRequest{})
	if err != nil {
		return nil, err
	}
	return &result{message: resp, text: func(w io.Writer) { printStatus(w, resp) }}, nil
}

func printStatus(w io.Writer, r *operatorpb.StatusResponse) {
	config, store := r.GetConfig(), r.GetStore()
	fmt.Fprintf(w, "vm      %s\n", r.Vm)
	fmt.Fprintf(w, "config  version %d, %s, age %s, relay %s\n", config.GetVersion(),
		choice(config.GetFresh(), "fresh", "STALE"), age(config.GetAge()), first(config.GetRelay(), "none"))
	fmt.Fprintf(w, "store   table %s, last answer %s ago\n",
		choice(store.GetTableReachable(), "reachable", "UNREACHABLE"), age(store.GetSinceAnswer()))
	section(w, "vms", vmGrid(r.Vms))
	section(w, "regions", regionGrid(r.Regions))
	section(w, "accounts", accountStatusGrid(r.Accounts))
	section(w, "leaving targets", targetGrid(r.LeavingTargets))
	section(w, "shifts", shiftStatusGrid(r.Shifts))
}

func choice(b bool, yes, no string) string {
	if b {
		return yes
	}
	return no
}

func age(d *durationpb.Duration) string {
	if d == nil {
		return "unknown"
	}
	return d.AsDuration().Round(time.Millisecond).String()
}

func regionGrid(regions []*operatorpb.RegionStatus) *grid {
	g := newGrid("region", "pool", "permits", "in use", "queued", "headroom")
	for _, r := range regions {
		g.add(r.Name, r.Pool, r.Permits, r.InUse, r.Queued, r.Permits-r.InUse)
	}
	return g
}

func accountStatusGrid(accounts []*operatorpb.AccountStatus) *grid {
	g := newGrid("account", "rate", "share here", "admitted", "refused")
	for _, a := range accounts {
		g.add(a.Name, number(a.Rate), number(a.Share), a.Admitted, a.Refused)
	}
	return g
}

func targetGrid(targets []*operatorpb.TargetStatus) *grid {
	g := newGrid("target", "pool", "region", "in use")
	for _, t := range targets {
		g.add(t.Id, t.Pool, t.Region, t.InUse)
	}
	return g
}

func shiftStatusGrid(shifts []*operatorpb.ShiftStatus) *grid {
	g := newGrid("shift", "pool", "from", "to", "cap %", "actual %", "seen", "moved")
	for _, s := range shifts {
		g.add(s.Name, s.Pool, s.From, s.To, number(s.CapPercent), number(s.ActualPercent), s.Seen, s.Moved)
	}
	return g
}
