package edge

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/twitchtv/twirp"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/feed"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/operator"
)

// errReadOnly rejects an operator's change: the platform owns the configuration.
var errReadOnly = twirp.NewError(twirp.FailedPrecondition,
	"the platform owns the configuration: change it in the platform's store; this API only shows it")

// readOnly serves the configuration in force and rejects changes. It implements
// operator.Feed and operator.StatusSource.
type readOnly struct{ d *Daemon }

func (r readOnly) Ready() bool { return r.d.state.Load() != nil }

func (r readOnly) Snapshot() config.Snapshot { return r.d.Snapshot() }

func (r readOnly) Propose(context.Context, feed.BuildFunc, int64) (int64, error) {
	return 0, errReadOnly
}

func (r readOnly) History(context.Context, int64, int) ([]config.Change, error) {
	return nil, errReadOnly
}

// Status reports the state of the fleet as seen by this VM.
func (r readOnly) Status(context.Context) (*operatorpb.StatusResponse, error) {
	d := r.d
	view := d.members.View()
	self := view.Self
	d.fillStatus(&self)
	vms := append([]member.Peer{self}, view.Peers...)
	slices.SortFunc(vms, func(a, b member.Peer) int { return strings.Compare(a.ID, b.ID) })
	out := &operatorpb.StatusResponse{Vm: d.self.ID, Vms: operator.VMStatus(vms)}
	accounts := d.Snapshot().Accounts
	out.Config = &operatorpb.ConfigStatus{Version: d.Snapshot().Version, Fresh: d.Snapshot().Fresh}
	for _, s := range d.limiter.Shares() {
		status := &operatorpb.AccountStatus{Name: s.Account, Share: s.Rate}
		if a := accounts[s.Account]; a != nil {
			status.Rate = a.Rate
		}
		out.Accounts = append(out.Accounts, status)
	}
	return out, nil
}

// operatorsHandler serves the operators' API.
func (d *Daemon) operatorsHandler() http.Handler {
	source := readOnly{d}
	return operator.NewServer(operator.Config{Feed: source, Status: source, Log: d.log, Metrics: d.metrics}).Handler()
}
