package feed

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/storage"
)

const (
	// maxProposeAttempts bounds how often a change that lost a race for its
	// version is rebuilt and tried again.
	maxProposeAttempts = 10
	// proposeTimeout bounds a proposal, unless the caller's deadline is earlier.
	proposeTimeout  = 10 * time.Second
	snapshotTimeout = 10 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay before a retry, after a
	// lost race or a lost response.
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
)

// ConflictError reports a change that was rejected because the configuration
// had changed since the version that it was based on. Nothing was changed.
type ConflictError struct {
	// Current is the current version of the configuration.
	Current int64
	Reason  string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s; the configuration is at version %d", e.Reason, e.Current)
}

// OutcomeUnknownError reports a change whose write may or may not have taken effect.
// The history shows whether the change of that version has this ID.
type OutcomeUnknownError struct {
	ID      uuid.UUID
	Version int64
	Err     error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: change %s may have made version %d: %v", e.ID, e.Version, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// BuildFunc makes a change to a configuration. Propose fills in the change's ID,
// version and time. It may be called several times for one proposal.
type BuildFunc func(*config.Config) (config.Change, error)

// Propose makes a change to the newest configuration, appends it to the log and
// puts it in force on this VM. It returns the version of the change. If expected
// is above 0, the configuration must be at that version. Errors: those of build
// and config.Apply, *ConflictError, *OutcomeUnknownError, storage.ErrUnavailable.
func (f *Feed) Propose(ctx context.Context, build BuildFunc, expected int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	select {
	case f.proposalSem <- struct{}{}:
		defer func() { <-f.proposalSem }()
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: another proposal is being made", storage.ErrUnavailable)
	}
	base, err := f.catchUp(ctx)
	if err != nil {
		return 0, err
	}
	if expected > 0 && expected != base.Version {
		return 0, &ConflictError{Current: base.Version, Reason: fmt.Sprintf("expected version %d", expected)}
	}
	p := proposal{feed: f, base: base, newest: base, id: uuid.New(), noRebase: expected > 0}
	return p.run(ctx, build)
}

// proposal is a change that is being appended to the log.
type proposal struct {
	feed *Feed
	// base is the configuration that the operator's change is based on.
	base *config.Config
	// newest is the configuration that the next attempt is based on.
	newest *config.Config
	id     uuid.UUID
	// noRebase forbids another attempt on a newer version.
	noRebase bool
}

// run retries the change on newer versions until it is in the log, and returns
// its version.
func (p *proposal) run(ctx context.Context, build BuildFunc) (int64, error) {
	delays := newBackOff()
	for range maxProposeAttempts {
		e, err := p.prepare(build)
		if err != nil {
			return 0, err
		}
		won, err := p.write(ctx, e)
		if err != nil {
			return 0, err
		}
		if won {
			return e.change.Version, nil
		}
		p.feed.meters.conflicts.Inc(1)
		if err := p.rebase(ctx, e); err != nil {
			return 0, err
		}
		sleep(ctx, delays.NextBackOff())
	}
	return 0, &ConflictError{Current: p.newest.Version, Reason: "too many racing changes"}
}

// prepare builds, validates and encodes the change.
func (p *proposal) prepare(build BuildFunc) (entry, error) {
	ch, err := build(p.newest)
	if err != nil {
		return entry{}, err
	}
	ch.ID = p.id
	ch.Version = p.newest.Version + 1
	ch.Time = time.Now().UTC().Truncate(time.Millisecond)
	if _, err := p.newest.Apply(ch); err != nil {
		return entry{}, err
	}
	data, err := config.EncodeChange(ch)
	if err != nil {
		return entry{}, fmt.Errorf("encode change: %w: %w", config.ErrInvalid, err)
	}
	return entry{change: ch, data: data}, nil
}

// write creates the change's row and reports whether the change, and not that
// of another proposal, holds its version. If the response to a write is lost, it
// writes the same row again: the row is created at most once, and its change ID
// identifies the proposal that wrote it.
func (p *proposal) write(ctx context.Context, e entry) (bool, error) {
	delays := newBackOff()
	unknown := false
	// If the row already exists, an earlier attempt may have written it, and
	// other VMs may have added versions since. So only the start of the first
	// attempt is known to precede them.
	firstStart := p.feed.cfg.Clock.Now()
	for {
		start := p.feed.cfg.Clock.Now()
		err := p.feed.store.create(ctx, e)
		var conflict *storage.ConflictError
		switch {
		case err == nil:
			p.feed.applyAccepted(ctx, e, start)
			return true, nil
		case errors.As(err, &conflict):
			owned, readErr := p.ownsVersion(ctx, e)
			if readErr == nil {
				if owned {
					p.feed.applyAccepted(ctx, e, firstStart)
				}
				return owned, nil
			}
			// If there is no row, another transaction caused the conflict. If
			// the row cannot be read, it is unknown which proposal wrote it.
			unknown = unknown || !errors.Is(readErr, storage.ErrNotFound)
			err = readErr
		case errors.Is(err, storage.ErrUnavailable) && !unknown:
			return false, fmt.Errorf("write version %d: %w", e.change.Version, err)
		default:
			unknown = true
		}
		p.feed.logReachability.recordFailure(start)
		if !sleep(ctx, delays.NextBackOff()) {
			p.feed.meters.unknownOutcomes.Inc(1)
			return false, &OutcomeUnknownError{ID: p.id, Version: e.change.Version, Err: err}
		}
	}
}

// ownsVersion reports whether the log's row for the change's version holds this change.
func (p *proposal) ownsVersion(ctx context.Context, e entry) (bool, error) {
	found, err := p.feed.store.get(ctx, e.change.Version)
	if err != nil {
		return false, err
	}
	return found.change.ID == p.id, nil
}

// rebase moves the proposal to the newest version after a lost race. It returns
// a *ConflictError if rebasing is not allowed or the change's entity has changed
// since the base version.
func (p *proposal) rebase(ctx context.Context, e entry) error {
	newest, err := p.feed.catchUp(ctx)
	if err != nil {
		return err
	}
	p.newest = newest
	subject, _, err := e.change.Action.Subject()
	if err != nil {
		return err
	}
	if p.noRebase {
		return &ConflictError{Current: newest.Version, Reason: fmt.Sprintf("expected version %d", p.base.Version)}
	}
	if !p.base.SameEntity(newest, subject) {
		return &ConflictError{Current: newest.Version, Reason: fmt.Sprintf("%v changed meanwhile", subject)}
	}
	return nil
}

// catchUp reads the store and returns the newest configuration.
func (f *Feed) catchUp(ctx context.Context) (*config.Config, error) {
	u, err := f.fetch(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	return f.applyUpdateAndWait(ctx, u)
}

// applyUpdateAndWait applies an update on the loop, waits for that and returns the configuration.
func (f *Feed) applyUpdateAndWait(ctx context.Context, u update) (*config.Config, error) {
	if !f.cfg.Loop.Call(ctx, func() { f.applyUpdate(u) }) {
		return nil, fmt.Errorf("%w: stopping or out of time", storage.ErrUnavailable)
	}
	c := f.state.Load().config
	if c == nil || c.Version < u.version {
		return nil, fmt.Errorf("version %d cannot be applied: %w", u.version, config.ErrFormat)
	}
	return c, nil
}

// applyAccepted puts a change that is in the log in force on this VM and pushes
// it to the peers. The log had no later change at start.
func (f *Feed) applyAccepted(ctx context.Context, e entry, start clock.Time) {
	f.logReachability.recordResponse(start, f.cfg.Clock.Now())
	u := update{entries: []entry{e}, version: e.change.Version, readAt: start, agreedAt: never}
	// The change is in the log, so the caller's deadline no longer applies.
	ctx = context.WithoutCancel(ctx)
	c, err := f.applyUpdateAndWait(ctx, u)
	if err != nil {
		f.cfg.Log.Error().Err(err).Int64("version", e.change.Version).Msg("failed to apply an accepted change on this VM")
		return
	}
	f.pushAccepted(ctx, e.data)
	if c.Version%f.cfg.SnapshotEvery == 0 {
		go f.storeSnapshot(ctx, c)
	}
}

// storeSnapshot stores a snapshot for starting VMs. If it fails, they read more
// of the log.
func (f *Feed) storeSnapshot(ctx context.Context, c *config.Config) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if err := f.store.writeSnapshot(ctx, c); err != nil {
		f.cfg.Log.Warn().Err(err).Int64("version", c.Version).Msg("failed to store the configuration snapshot")
	}
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryDelay
	b.MaxInterval = maxRetryDelay
	return b
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
