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
	return tableResult(resp, vmTable(resp.Vms)), nil
}

func vmTable(vms []*operatorpb.VMStatus) *textTable {
	g := newTextTable("vm", "region", "failure domain", "state", "config", "slots", "free permits", "callers")
	for _, v := range vms {
		g.addRow(v.Id, v.Region, v.FailureDomain, v.State, v.ConfigVersion, v.SlotsHeld, v.FreePermits, v.CallerAddress)
	}
	return g
}

// watchPeriod is the refresh period of status --watch.
const watchPeriod = 2 * time.Second

type statusCommand struct {
	Watch bool `arg:"--watch" help:"refresh every 2 s until interrupted"`
}

// refreshPeriod implements watchable.
func (s *statusCommand) refreshPeriod() time.Duration {
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
		either(config.GetFresh(), "fresh", "STALE"), formatAge(config.GetAge()), firstNonEmpty(config.GetRelay(), "none"))
	fmt.Fprintf(w, "store   table %s, last answer %s ago\n",
		either(store.GetTableReachable(), "reachable", "UNREACHABLE"), formatAge(store.GetSinceAnswer()))
	printSection(w, "vms", vmTable(r.Vms))
	printSection(w, "regions", regionTable(r.Regions))
	printSection(w, "accounts", accountStatusTable(r.Accounts))
	printSection(w, "leaving targets", targetTable(r.LeavingTargets))
	printSection(w, "shifts", shiftStatusTable(r.Shifts))
}

// either returns yes if b is true, else no.
func either(b bool, yes, no string) string {
	if b {
		return yes
	}
	return no
}

// formatAge formats a duration rounded to milliseconds, or returns "unknown" if it is not set.
func formatAge(d *durationpb.Duration) string {
	if d == nil {
		return "unknown"
	}
	return d.AsDuration().Round(time.Millisecond).String()
}

func regionTable(regions []*operatorpb.RegionStatus) *textTable {
	g := newTextTable("region", "pool", "permits", "in use", "queued", "headroom")
	for _, r := range regions {
		g.addRow(r.Name, r.Pool, r.Permits, r.InUse, r.Queued, r.Permits-r.InUse)
	}
	return g
}

func accountStatusTable(accounts []*operatorpb.AccountStatus) *textTable {
	g := newTextTable("account", "rate", "share here", "admitted", "refused")
	for _, a := range accounts {
		g.addRow(a.Name, formatNumber(a.Rate), formatNumber(a.Share), a.Admitted, a.Refused)
	}
	return g
}

func targetTable(targets []*operatorpb.TargetStatus) *textTable {
	g := newTextTable("target", "pool", "region", "in use")
	for _, t := range targets {
		g.addRow(t.Id, t.Pool, t.Region, t.InUse)
	}
	return g
}

func shiftStatusTable(shifts []*operatorpb.ShiftStatus) *textTable {
	g := newTextTable("shift", "pool", "from", "to", "cap %", "actual %", "seen", "moved")
	for _, s := range shifts {
		g.addRow(s.Name, s.Pool, s.From, s.To, formatNumber(s.CapPercent), formatNumber(s.ActualPercent), s.Seen, s.Moved)
	}
	return g
}
