package feed

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/member"
)

const (
	// maxPullWait bounds how long a peer may have a call held.
	maxPullWait = 5 * time.Second
	// maxPushed bounds how many peers one VM pushes a change to. In a larger
	// fleet it pushes to some of each failure domain, which push on.
	maxPushed        = 64
	pushesPerDomain  = 2
	pushAcknowledged = 250 * time.Millisecond
)

// Handler returns the path prefix and the handler of the protocol between
// VMs.
func (f *Feed) Handler() (string, http.Handler) {
	s := peerpb.NewConfigServer(&server{feed: f})
	return s.PathPrefix(), s
}

// server implements peerpb.Config.
type server struct{ feed *Feed }

// Pull implements peerpb.Config.
func (s *server) Pull(ctx context.Context, r *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	f := s.feed
	start := f.cfg.Clock.Now()
	wait := min(time.Duration(max(0, r.WaitMs))*time.Millisecond, maxPullWait)
	st := f.await(ctx, r.Have, wait)
	now := f.cfg.Clock.Now()
	resp, err := encodeAnswer(st, r.Have, start, now)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	relay := f.relay.Load()
	resp.StoreUnreachable = f.contact.unreachable(now, f.cfg.Freshness)
	resp.RelayId = relay.row.ID
	resp.RelayIncarnation = relay.row.Incarnation
	resp.RelayAddress = relay.row.Address
	resp.FailureDomain = f.cfg.Self.FailureDomain
	return resp, nil
}

// encodeAnswer answers at now to a call that arrived at start, by the callee's
// clock, from a caller that has a version.
func encodeAnswer(st *state, have int64, start, now clock.Time) (*peerpb.PullResponse, error) {
	resp := &peerpb.PullResponse{Ready: st.config != nil, HeldUs: now.Sub(start).Microseconds()}
	if st.config == nil {
		return resp, nil
	}
	resp.Version = st.version()
	resp.ReadAgeUs = ageMicroseconds(now, st.read)
	resp.AgreedAgeUs = ageMicroseconds(now, st.agreed)
	entries, ok := st.since(have)
	if !ok {
		data, err := st.config.Encode()
		resp.Snapshot = data
		return resp, err
	}
	for _, e := range entries {
		resp.Changes = append(resp.Changes, e.data)
	}
	return resp, nil
}

// await returns the state once it is newer than version have, or after wait.
func (f *Feed) await(ctx context.Context, have int64, wait time.Duration) *state {
	st := f.state.Load()
	if wait <= 0 {
		return st
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for st.version() <= have {
		select {
		case <-st.newer:
			st = f.state.Load()
		case <-timer.C:
			return f.state.Load()
		case <-ctx.Done():
			return f.state.Load()
		}
	}
	return st
}

// ageMicroseconds rounds up, since an age must not look younger than it is.
func ageMicroseconds(now, t clock.Time) int64 {
	if t == never {
		return -1
	}
	return max(0, now.Sub(t).Microseconds()+1)
}

// Push implements peerpb.Config.
func (s *server) Push(ctx context.Context, r *peerpb.PushRequest) (*peerpb.PushResponse, error) {
	f := s.feed
	entries, err := decodeEntries(r.Changes)
	if err != nil {
		return nil, twirp.InvalidArgumentError("changes", err.Error())
	}
	before := f.state.Load().version()
	if before == noVersion || len(entries) == 0 {
		return &peerpb.PushResponse{Version: before}, nil
	}
	if entries[0].change.Version > before+1 {
		f.fillGap(ctx, r.SenderAddress)
	}
	// A push may be late, so it says nothing about how old the version is.
	f.cfg.Loop.Call(ctx, func() { f.take(update{entries: entries, read: never, agreed: never}) })
	after := f.state.Load().version()
	if r.Forward && after > before {
		go f.push(context.WithoutCancel(ctx), f.near(), r.Changes, false)
	}
	return &peerpb.PushResponse{Version: after}, nil
}

// fillGap pulls the changes before a pushed one from its sender.
func (f *Feed) fillGap(ctx context.Context, address string) {
	if address == "" {
		return
	}
	a, err := f.pull(ctx, address, 0)
	if err != nil || !a.ready {
		return
	}
	f.cfg.Loop.Call(ctx, func() { f.take(a.update) })
}

// announce pushes an accepted change to the peers. It returns when one of
// them has it, so that it outlives this VM, or after a short time: the change
// stands in the log in any case.
func (f *Feed) announce(ctx context.Context, data []byte) {
	peers := f.cfg.Members.View().Peers
	if len(peers) <= maxPushed {
		f.push(ctx, addresses(peers), [][]byte{data}, false)
		return
	}
	f.push(ctx, contacts(peers), [][]byte{data}, true)
}

// push sends changes to all addresses at once and returns when the first has
// them, all have failed, or pushAcknowledged is over.
func (f *Feed) push(ctx context.Context, to []string, changes [][]byte, forward bool) {
	if len(to) == 0 {
		return
	}
	first := make(chan struct{})
	var once sync.Once
	var wg sync.WaitGroup
	version := f.state.Load().version()
	for _, address := range to {
		wg.Go(func() {
			resp, err := f.pushOne(ctx, address, changes, forward)
			if err == nil && resp.Version >= version {
				once.Do(func() { close(first) })
			}
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	timer := time.NewTimer(pushAcknowledged)
	defer timer.Stop()
	select {
	case <-first:
	case <-done:
	case <-timer.C:
	}
}

func (f *Feed) pushOne(ctx context.Context, address string, changes [][]byte, forward bool) (*peerpb.PushResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.cfg.PeerTimeout)
	defer cancel()
	client := peerpb.NewConfigProtobufClient(f.cfg.Peers.URL(address), f.cfg.Peers.HTTP())
	f.meters.pushes.Inc(1)
	resp, err := client.Push(ctx, &peerpb.PushRequest{
		Changes:       changes,
		SenderAddress: f.cfg.Self.PeerAddress,
		Forward:       forward,
	})
	if err != nil && !errors.Is(err, context.Canceled) {
		f.cfg.Log.Debug().Err(err).Str("peer", address).Msg("push failed")
	}
	return resp, err
}

func addresses(peers []member.Peer) []string {
	var out []string
	for i := range peers {
		if usable(&peers[i]) {
			out = append(out, peers[i].PeerAddress)
		}
	}
	return out
}

// contacts returns some usable peers of each failure domain.
func contacts(peers []member.Peer) []string {
	count := map[string]int{}
	var out []string
	for i := range peers {
		p := &peers[i]
		if usable(p) && count[p.FailureDomain] < pushesPerDomain {
			count[p.FailureDomain]++
			out = append(out, p.PeerAddress)
		}
	}
	return out
}

// near returns the usable peers of this VM's failure domain.
func (f *Feed) near() []string {
	var out []string
	for _, p := range f.cfg.Members.View().Peers {
		if usable(&p) && p.FailureDomain == f.cfg.Self.FailureDomain {
			out = append(out, p.PeerAddress)
		}
	}
	return out
}
