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

// relayPartition holds one row for each failure domain: the lease of the VM
// that reads the store for the others. The lease only saves reads: any VM may
// read the store at any time, so two holders at once do no harm.
const relayPartition = "relay"

// relayRow is the value of a relay's lease.
type relayRow struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
}

// observation is what a VM has seen of its failure domain's lease.
type observation struct {
	row relayRow
	// revision grows with each renewal; 0 if there was no row.
	revision int64
	// since is when this VM first saw the revision. Its own clock alone
	// decides when the lease has expired.
	since clock.Time
	known bool
}

// observe returns the observation after a read of the row.
func (o observation) observe(row relayRow, revision int64, now clock.Time) observation {
	if o.known && o.revision == revision {
		return o
	}
	return observation{row: row, revision: revision, since: now, known: true}
}

// mayWrite reports whether the VM may take or renew the lease.
func (o observation) mayWrite(incarnation string, lease time.Duration, now clock.Time) bool {
	return o.revision == 0 || o.row.Incarnation == incarnation || now.Sub(o.since) > lease
}

// duties is what a VM does at one step.
type duties struct {
	// read reads the store, campaign takes or renews the relay's lease,
	// consult asks all peers.
	read, campaign, consult bool
}

// situation is what the duties depend on.
type situation struct {
	now clock.Time
	// relay reports that this VM holds the lease.
	relay bool
	// relayKnown reports that some VM is known to hold it.
	relayKnown bool
	// readAge and age are the time since a read of the store, and since any
	// proof, that the version is the newest.
	readAge, age time.Duration
	// patience is how old a read may be before the VM helps itself.
	patience     time.Duration
	freshness    time.Duration
	nextRead     clock.Time
	nextCampaign clock.Time
}

// decide returns what is to be done now.
func decide(s situation) duties {
	alone := s.readAge > s.patience
	return duties{
		read:     (s.relay || alone) && !s.now.Before(s.nextRead),
		campaign: (s.relay || alone || !s.relayKnown) && !s.now.Before(s.nextCampaign),
		consult:  s.age > fraction(s.freshness, consultAfter),
	}
}

// campaign takes or renews the lease, or learns who holds it. It runs off the
// loop, on a copy of the observation.
func (f *Feed) campaign(ctx context.Context, o observation) (observation, error) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.ReadTimeout)
	defer cancel()
	key := storage.Key{Partition: relayPartition, Sort: f.cfg.Self.FailureDomain}
	start := f.cfg.Clock.Now()
	item, err := f.cfg.Table.Get(ctx, key)
	if err == nil || errors.Is(err, storage.ErrNotFound) {
		f.leaseContact.answered(start, f.cfg.Clock.Now())
	} else {
		f.leaseContact.failed(start)
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
	if !o.mayWrite(f.cfg.Self.Incarnation, f.cfg.RelayLease, f.cfg.Clock.Now()) {
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
