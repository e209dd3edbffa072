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
	// maxPullWait bounds the wait that a peer's pull may ask for.
	maxPullWait = 5 * time.Second
	// maxPushPeers bounds how many peers one VM pushes a change to. In a larger
	// fleet it pushes to pushesPerDomain VMs of each failure domain, which
	// forward the change within their failure domain.
	maxPushPeers    = 64
	pushesPerDomain = 2
	// pushAckTimeout bounds how long a push waits for the first peer to have
	// the changes.
	pushAckTimeout = 250 * time.Millisecond
)

// Handler returns the path prefix and the handler of the feed's peer protocol.
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
	st := f.awaitNewer(ctx, r.Have, wait)
	now := f.cfg.Clock.Now()
	resp, err := encodePullResponse(st, r.Have, start, now)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	relay := f.relay.Load()
	resp.StoreUnreachable = f.logReachability.unreachable(now, f.cfg.MaxAge)
	resp.RelayId = relay.row.ID
	resp.RelayIncarnation = relay.row.Incarnation
	resp.RelayAddress = relay.row.Address
	resp.FailureDomain = f.cfg.Self.FailureDomain
	return resp, nil
}

// encodePullResponse returns the response at now to a pull that arrived at
// start, by the callee's clock, from a caller that has version have.
func encodePullResponse(st *state, have int64, start, now clock.Time) (*peerpb.PullResponse, error) {
	resp := &peerpb.PullResponse{Ready: st.config != nil, HeldUs: now.Sub(start).Microseconds()}
	if st.config == nil {
		return resp, nil
	}
	resp.Version = st.version()
	resp.ReadAgeUs = ageMicroseconds(now, st.readAt)
	resp.AgreedAgeUs = ageMicroseconds(now, st.agreedAt)
	entries, ok := st.entriesAfter(have)
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

// awaitNewer returns the state once its version is newer than have, or the
// current state after wait.
func (f *Feed) awaitNewer(ctx context.Context, have int64, wait time.Duration) *state {
	st := f.state.Load()
	if wait <= 0 {
		return st
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for st.version() <= have {
		select {
		case <-st.superseded:
			st = f.state.Load()
		case <-timer.C:
			return f.state.Load()
		case <-ctx.Done():
			return f.state.Load()
		}
	}
	return st
}

// ageMicroseconds returns the age of t, or -1 if t is never. It rounds up, since
// an age must not be understated.
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
	// A push may arrive late, so it does not show that the version is the newest.
	f.cfg.Loop.Call(ctx, func() { f.applyUpdate(update{entries: entries, readAt: never, agreedAt: never}) })
	after := f.state.Load().version()
	if r.Forward && after > before {
		go f.push(context.WithoutCancel(ctx), f.domainAddresses(), r.Changes, false)
	}
	return &peerpb.PushResponse{Version: after}, nil
}

// fillGap pulls the changes that precede a pushed change from its sender.
func (f *Feed) fillGap(ctx context.Context, address string) {
	if address == "" {
		return
	}
	result, err := f.pull(ctx, address, 0)
	if err != nil || !result.ready {
		return
	}
	f.cfg.Loop.Call(ctx, func() { f.applyUpdate(result.update) })
}

// pushAccepted pushes an accepted change to the peers. It returns when one of
// them has the change, so that the change survives this VM's death, or after a
// short timeout: the change is in the log in any case.
func (f *Feed) pushAccepted(ctx context.Context, data []byte) {
	peers := f.cfg.Members.View().Peers
	if len(peers) <= maxPushPeers {
		f.push(ctx, addresses(peers), [][]byte{data}, false)
		return
	}
	f.push(ctx, addressesPerDomain(peers), [][]byte{data}, true)
}

// push sends changes to all addresses concurrently. It returns when the first
// peer has them, all calls have ended, or pushAckTimeout has passed.
func (f *Feed) push(ctx context.Context, to []string, changes [][]byte, forward bool) {
	if len(to) == 0 {
		return
	}
	acknowledged := make(chan struct{})
	var once sync.Once
	var wg sync.WaitGroup
	version := f.state.Load().version()
	for _, address := range to {
		wg.Go(func() {
			resp, err := f.pushOne(ctx, address, changes, forward)
			if err == nil && resp.Version >= version {
				once.Do(func() { close(acknowledged) })
			}
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	timer := time.NewTimer(pushAckTimeout)
	defer timer.Stop()
	select {
	case <-acknowledged:
	case <-done:
	case <-timer.C:
	}
}

func (f *Feed) pushOne(ctx context.Context, address string, changes [][]byte, forward bool) (*peerpb.PushResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.cfg.PeerTimeout)
	defer cancel()
	client := peerpb.NewConfigProtobufClient(f.cfg.PeerDialer.BaseURL(address), f.cfg.PeerDialer.HTTPClient())
	f.meters.pushes.Inc(1)
	resp, err := client.Push(ctx, &peerpb.PushRequest{
		Changes:       changes,
		SenderAddress: f.cfg.Self.PeerAddress,
		Forward:       forward,
	})
	if err != nil && !errors.Is(err, context.Canceled) {
		f.cfg.Log.Debug().Err(err).Str("peer", address).Msg("failed to push a configuration change to a peer")
	}
	return resp, err
}

// addresses returns the addresses of the usable peers.
func addresses(peers []member.Peer) []string {
	var out []string
	for i := range peers {
		if usable(&peers[i]) {
			out = append(out, peers[i].PeerAddress)
		}
	}
	return out
}

// addressesPerDomain returns the addresses of up to pushesPerDomain usable peers
// of each failure domain.
func addressesPerDomain(peers []member.Peer) []string {
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

// domainAddresses returns the addresses of the usable peers of this VM's failure
// domain.
func (f *Feed) domainAddresses() []string {
	var out []string
	for _, p := range f.cfg.Members.View().Peers {
		if usable(&p) && p.FailureDomain == f.cfg.Self.FailureDomain {
			out = append(out, p.PeerAddress)
		}
	}
	return out
}
