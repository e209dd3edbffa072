package feed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/storage"
)

// relayPartition holds one row for each failure domain: the lease of the relay,
// the VM that reads the store for the others. The lease only saves reads: any
// VM may read the store at any time, so two holders at once do no harm.
const relayPartition = "relay"

// relayRow is the value of a relay lease's row.
type relayRow struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
}

// observation is the relay lease of a failure domain as last seen by a VM.
type observation struct {
	row relayRow
	// revision increases with each renewal; 0 if there was no row.
	revision int64
	// since is when this VM first saw the revision. Only its own clock decides
	// when the lease has expired.
	since clock.Time
	// observed is false until this VM has read the lease or a peer has reported it.
	observed bool
}

// observe returns the observation updated by a row that was read at now. An
// unchanged revision keeps its since.
func (o observation) observe(row relayRow, revision int64, now clock.Time) observation {
	if o.observed && o.revision == revision {
		return o
	}
	return observation{row: row, revision: revision, since: now, observed: true}
}

// mayAcquire reports whether the incarnation may acquire or renew the lease: it
// is vacant, its own or expired.
func (o observation) mayAcquire(incarnation string, lease time.Duration, now clock.Time) bool {
	return o.revision == 0 || o.row.Incarnation == incarnation || now.Sub(o.since) > lease
}

// duties is the work that is due in one step.
type duties struct {
	// read reads the store, campaign acquires or renews the relay lease, and
	// consult asks all peers.
	read, campaign, consult bool
}

// dutyInputs holds the values from which a VM's duties follow.
type dutyInputs struct {
	now clock.Time
	// isRelay reports that this VM holds the relay lease.
	isRelay bool
	// relayKnown reports that a holder of the relay lease is known.
	relayKnown bool
	// readAge is the time since a read of the store showed that the version is
	// the newest; age is the time since a read or an agreement showed it.
	readAge, age time.Duration
	// fallbackAge is the readAge above which the VM reads the store itself.
	fallbackAge  time.Duration
	maxAge       time.Duration
	nextRead     clock.Time
	nextCampaign clock.Time
}

// currentDuties returns the work that is due now.
func currentDuties(s dutyInputs) duties {
	fallback := s.readAge > s.fallbackAge
	return duties{
		read:     (s.isRelay || fallback) && !s.now.Before(s.nextRead),
		campaign: (s.isRelay || fallback || !s.relayKnown) && !s.now.Before(s.nextCampaign),
		consult:  s.age > fraction(s.maxAge, consultAge),
	}
}

// campaign acquires or renews the relay lease, or learns which VM holds it, and
// returns the new observation. It runs outside the loop, on a copy of the
// observation.
func (f *Feed) campaign(ctx context.Context, o observation) (observation, error) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.ReadTimeout)
	defer cancel()
	key := storage.Key{Partition: relayPartition, Sort: f.cfg.Self.FailureDomain}
	start := f.cfg.Clock.Now()
	item, err := f.cfg.Table.Get(ctx, key)
	if err == nil || errors.Is(err, storage.ErrNotFound) {
		f.leaseReachability.recordResponse(start, f.cfg.Clock.Now())
	} else {
		f.leaseReachability.recordFailure(start)
	}
	var row relayRow
	switch {
	case errors.Is(err, storage.ErrNotFound):
		item = storage.Item{}
	case err != nil:
		return o, fmt.Errorf("read relay lease: %w", err)
	default:
		if err := json.Unmarshal(item.Value, &row); err != nil {
			return o, fmt.Errorf("relay lease of %q: %w", key.Sort, err)
		}
	}
	o = o.observe(row, item.Revision, f.cfg.Clock.Now())
	if !o.mayAcquire(f.cfg.Self.Incarnation, f.cfg.RelayLease, f.cfg.Clock.Now()) {
		return o, nil
	}
	own := relayRow{ID: f.cfg.Self.ID, Incarnation: f.cfg.Self.Incarnation, Address: f.cfg.Self.PeerAddress}
	value, err := json.Marshal(own)
	if err != nil {
		return o, err
	}
	err = f.cfg.Table.Transact(ctx, []storage.Write{{Key: key, IfRevision: item.Revision, Value: value}})
	if err != nil {
		return o, fmt.Errorf("write relay lease: %w", err)
	}
	return o.observe(own, item.Revision+1, f.cfg.Clock.Now()), nil
}
