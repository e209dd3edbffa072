package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/pkg/target"
	"crocusramp.dev/crocusramp/platform"
)

const (
	// recallTimeout bounds the wait for the peers' answers: two round trips between the most distant
	// regions.
	recallTimeout = 300 * time.Millisecond
	// lateRecallTimeout bounds the wait for answers while this VM serves already.
	lateRecallTimeout = time.Second
	// recallWait bounds the wait for the list of VMs and the peers' answers. It is as long as
	// requests are held after a start.
	recallWait = 700 * time.Millisecond
	// maxRecallPeers is the largest number of VMs that are asked, drawn at random.
	maxRecallPeers = 8
)

// recalledState is what the peers know that the restored store may lack.
type recalledState struct {
	configs   [][]byte
	evacuated []string
	targets   []target.State
}

// recallServer implements the Recall service of the peer protocol.
type recallServer struct{ d *Daemon }

func (d *Daemon) recallHandler() (string, http.Handler) {
	server := peerpb.NewRecallServer(recallServer{d})
	return server.PathPrefix(), server
}

// Recall returns what this VM knows of the operators' and the targets' tables.
func (s recallServer) Recall(_ context.Context, r *peerpb.RecallRequest) (*peerpb.RecallResponse, error) {
	out := &peerpb.RecallResponse{Evacuated: s.d.evacuations.list(), EvacuationsKnown: s.d.evacuations.known.Load()}
	if c := s.d.configSource.Load(); c != nil && s.d.Snapshot().Version > r.GetConfigVersion() {
		out.Config = *c
	}
	for _, t := range s.d.targets.States() {
		out.Targets = append(out.Targets, member.TargetStateToProto(t))
	}
	return out, nil
}

// beginRecall is called with the first read of the registrations, in an era of the store. If the
// store may lack changes that the peers know, it asks them; otherwise there is nothing to recall.
func (d *Daemon) beginRecall(ctx context.Context, vms []Registration, era int64) {
	settled := int64(0)
	for _, v := range vms {
		settled = max(settled, v.SettledEra)
	}
	if d.settings.Load().FirstStart && len(vms) == 0 {
		settled = era
	}
	d.settledEra.Store(settled)
	d.knownSinceEra.Store(era)
	if era <= settled {
		close(d.recalled)
		return
	}
	d.suspects.beginEra()
	d.settleLater(ctx, era)
	asked := make([]member.Peer, 0, maxRecallPeers)
	for _, i := range rand.Perm(len(vms)) {
		if v := vms[i]; v.ID != d.fleet.self.ID && !v.Left && len(asked) < maxRecallPeers {
			asked = append(asked, member.Peer{ID: v.ID, PeerAddress: v.PeerAddress})
		}
	}
	d.loop.Go(ctx, func(ctx context.Context) {
		started := time.Now()
		answered := d.recallFrom(ctx, recallTimeout, asked)
		close(d.recalled)
		d.log.Warn().Int64("era", era).Int64("settled", settled).Int("asked", len(asked)).Int("answers", len(answered)).Dur("after_ms", time.Since(started)).
			Msg("the store was restored from a copy recently; asked other VMs for later changes")
		d.recallLate(ctx, era)
	})
}

// recallLate asks peers that have followed the store since before the era, as soon as heartbeats tell of
// them: those that were asked at the start may have been too slow, or have started as late as this VM.
// Each process is asked once, and again if it has learned from others since. recallLate ends when the
// era is settled or enough peers have answered.
func (d *Daemon) recallLate(ctx context.Context, era int64) {
	ctx, cancel := context.WithTimeout(ctx, eraSettleTime)
	defer cancel()
	knownSince := map[string]int64{} // by incarnation of the peers that answered
	every(ctx, comparePeriod, func() {
		var asked []member.Peer
		for _, p := range d.members.View().Peers {
			since, answered := knownSince[p.Incarnation]
			if p.MissedHeartbeats == 0 && p.Incarnation != "" && p.KnownSinceEra < era && (!answered || p.KnownSinceEra < since) {
				asked = append(asked, p)
			}
		}
		rand.Shuffle(len(asked), func(i, j int) { asked[i], asked[j] = asked[j], asked[i] })
		for _, p := range d.recallFrom(ctx, lateRecallTimeout, asked[:min(len(asked), maxRecallPeers-len(knownSince))]) {
			knownSince[p.Incarnation] = p.KnownSinceEra
			d.knownSinceEra.Store(min(d.knownSinceEra.Load(), p.KnownSinceEra))
			d.log.Info().Str("vm", p.ID).Int64("known_since_era", p.KnownSinceEra).Msg("another VM has told what the restored store may lack")
		}
		if len(knownSince) >= maxRecallPeers || d.settledEra.Load() >= era {
			cancel()
		}
	})
}

// recallFrom asks peers what they know, applies it, and returns those that answered in time and had read
// the store.
func (d *Daemon) recallFrom(ctx context.Context, timeout time.Duration, peers []member.Peer) (answered []member.Peer) {
	state, answered := d.askPeers(ctx, timeout, peers)
	d.recallMu.Lock()
	d.recalledTargets = append(d.recalledTargets, state.targets...)
	d.recallMu.Unlock()
	changed := d.applyRecalledConfigs(state.configs)
	changed = d.applyRecalledEvacuations(state.evacuated, time.Now()) || changed
	changed = d.applyRecalledTargets(state.targets, time.Now()) || changed
	if changed {
		d.targets.Publish(storage.Version{})
	}
	return answered
}

// askPeers asks peers what they know. It returns the answers of those that respond in time, and the peers
// among them that had read the operators' table.
func (d *Daemon) askPeers(ctx context.Context, timeout time.Duration, peers []member.Peer) (state recalledState, answered []member.Peer) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var mu sync.Mutex
	var calls errgroup.Group
	for _, p := range peers {
		calls.Go(func() error {
			client := peerpb.NewRecallProtobufClient(d.dialer.BaseURL(p.PeerAddress), d.dialer.HTTPClient())
			r, err := client.Recall(ctx, &peerpb.RecallRequest{ConfigVersion: d.Snapshot().Version})
			if err != nil {
				d.log.Info().Err(err).Str("vm", p.ID).Msg("another VM did not tell what it knows of the store")
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			state.add(r)
			if r.GetEvacuationsKnown() {
				answered = append(answered, p)
			}
			return nil
		})
	}
	_ = calls.Wait() // the functions always return nil
	return state, answered
}

// add adds a peer's answer.
func (s *recalledState) add(r *peerpb.RecallResponse) {
	if len(r.GetConfig()) > 0 {
		s.configs = append(s.configs, r.GetConfig())
	}
	s.evacuated = append(s.evacuated, r.GetEvacuated()...)
	for _, t := range r.GetTargets() {
		s.targets = append(s.targets, member.TargetStateFromProto(t))
	}
}

// awaitRecall waits until this VM knows whether its peers know later changes than the store. It does not
// wait if the store was never restored.
func (d *Daemon) awaitRecall() {
	if d.store.Era() == 0 {
		return
	}
	select {
	case <-d.recalled:
	case <-time.After(recallWait):
		d.log.Warn().Msg("could not ask other VMs for later changes than those in the restored store; going by the store")
	}
}

// applyRecalledConfigs puts the newest configuration that peers know in force if the store has an
// older one.
func (d *Daemon) applyRecalledConfigs(configs [][]byte) (changed bool) {
	for _, value := range configs {
		next, err := platform.DecodeConfig(value)
		if err != nil {
			d.log.Warn().Err(err).Msg("cannot decode the configuration of another VM")
			continue
		}
		if next.Version > d.Snapshot().Version {
			changed = d.applyConfig(value, storage.Version{}) || changed
		}
	}
	return changed
}

// applyRecalledEvacuations evacuates the failure domains that peers know to be evacuated. If the store
// does not list them, they are in use again after restoredRowHold. It reports whether any was not
// evacuated before.
func (d *Daemon) applyRecalledEvacuations(domains []string, now time.Time) (changed bool) {
	for _, domain := range domains {
		if !d.evacuations.recall(domain, now) {
			continue
		}
		changed = true
		d.targets.Evacuate(domain, true, now)
		time.AfterFunc(restoredRowHold, d.applyHeldEvacuations)
		d.log.Warn().Str("failure_domain", domain).Dur("for_ms", restoredRowHold).Msg("another VM knows a failure domain to be evacuated")
	}
	return changed
}

// applyRecalledTargets applies what peers know of the listed targets. It reports whether there is any.
func (d *Daemon) applyRecalledTargets(states []target.State, now time.Time) bool {
	for _, l := range d.targets.ApplyStates(states, now) {
		d.dropTarget(l)
	}
	return len(states) > 0
}
