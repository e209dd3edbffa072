package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/pkg/target"
	"crocusramp.dev/crocusramp/platform"
)

const (
	// recallTimeout bounds the wait for the peers' answers: two round trips between the most distant
	// regions.
	recallTimeout = 300 * time.Millisecond
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
func (s recallServer) Recall(context.Context, *peerpb.RecallRequest) (*peerpb.RecallResponse, error) {
	out := &peerpb.RecallResponse{Evacuated: s.d.evacuations.list(), EvacuationsKnown: s.d.evacuations.known.Load()}
	if c := s.d.configSource.Load(); c != nil {
		out.Config = *c
	}
	for _, t := range s.d.targets.States() {
		out.Targets = append(out.Targets, &peerpb.TargetState{Id: t.ID, StartedAt: t.StartedAt, Sequence: t.Sequence, Draining: t.Draining, Removed: t.Removed})
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
	if era <= settled {
		close(d.recalled)
		return
	}
	d.suspects.beginEra()
	d.loop.Go(ctx, func(ctx context.Context) {
		started := time.Now()
		var answers int
		d.recall, answers = d.askPeers(ctx, vms)
		close(d.recalled)
		d.log.Warn().Int64("era", era).Int64("settled", settled).Int("vms", len(vms)).Int("answers", answers).Dur("after_ms", time.Since(started)).
			Msg("the store was restored from a copy recently; asked other VMs for later changes")
	})
}

// askPeers asks some of the VMs what they know, and returns the answers of those that respond in time.
func (d *Daemon) askPeers(ctx context.Context, vms []Registration) (state recalledState, answers int) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	vms = slices.Clone(vms) // the caller goes on using its slice
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	var mu sync.Mutex
	var calls errgroup.Group
	asked := 0
	for _, v := range vms {
		if v.ID == d.fleet.self.ID || v.Left || asked == maxRecallPeers {
			continue
		}
		asked++
		calls.Go(func() error {
			client := peerpb.NewRecallProtobufClient(d.dialer.BaseURL(v.PeerAddress), d.dialer.HTTPClient())
			r, err := client.Recall(ctx, &peerpb.RecallRequest{})
			if err != nil {
				d.log.Info().Err(err).Str("vm", v.ID).Msg("another VM did not tell what it knows of the store")
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			answers++
			state.add(r)
			return nil
		})
	}
	_ = calls.Wait() // the functions always return nil
	return state, answers
}

// add adds a peer's answer.
func (s *recalledState) add(r *peerpb.RecallResponse) {
	if len(r.GetConfig()) > 0 {
		s.configs = append(s.configs, r.GetConfig())
	}
	s.evacuated = append(s.evacuated, r.GetEvacuated()...)
	for _, t := range r.GetTargets() {
		s.targets = append(s.targets, target.State{ID: t.GetId(), StartedAt: t.GetStartedAt(), Sequence: t.GetSequence(), Draining: t.GetDraining(), Removed: t.GetRemoved()})
	}
}

// awaitRecall waits until this VM knows whether its peers know later changes than the store, and
// returns them. It does not wait if the store was never restored.
func (d *Daemon) awaitRecall() recalledState {
	if d.store.Era() == 0 {
		return recalledState{}
	}
	select {
	case <-d.recalled:
		return d.recall
	case <-time.After(recallWait):
		d.log.Warn().Msg("could not ask other VMs for later changes than those in the restored store; going by the store")
		return recalledState{}
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
// does not list them, they are in use again after restoredRowHold.
func (d *Daemon) applyRecalledEvacuations(domains []string, now time.Time) {
	for _, domain := range domains {
		d.evacuations.set(domain, true, 0)
		d.evacuations.hold(domain, false, 0, now)
		d.targets.Evacuate(domain, true, now)
		time.AfterFunc(restoredRowHold, d.applyHeldEvacuations)
	}
}
