package operator

import (
	"context"
	"errors"
	"strconv"

	"github.com/twitchtv/twirp"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/feed"
	"crocusramp.dev/crocusramp/pkg/keys"
	"crocusramp.dev/crocusramp/pkg/storage"
)

// Metadata keys and values of errors.
const (
	// MetaCurrentVersion holds the current version of the configuration in aborted errors.
	MetaCurrentVersion = "current_version"
	// MetaOutcome holds OutcomeNotRun or OutcomeUnknown in unavailable errors.
	MetaOutcome = "outcome"
	// MetaChangeID and MetaVersion identify a change whose outcome is unknown.
	MetaChangeID = "change_id"
	MetaVersion  = "version"
	// MetaField holds the name of the invalid field in invalid_argument errors.
	MetaField = "field"

	OutcomeNotRun  = "not_run"
	OutcomeUnknown = "unknown"
)

// baseService is embedded in all services. It reads and changes the configuration.
type baseService struct {
	cfg Config
}

// snapshot returns the configuration in force on this VM.
func (s *baseService) snapshot() (*config.Config, error) {
	if !s.cfg.Feed.Ready() {
		return nil, unavailable(errors.New("this VM has no configuration yet"))
	}
	return s.cfg.Feed.Snapshot().Config, nil
}

// propose proposes the change that build returns for the newest configuration, and returns the new
// version. If expected is above 0, the configuration must be at that version.
func (s *baseService) propose(ctx context.Context, expected int64, build func(*config.Config) (config.Action, error)) (int64, error) {
	if expected < 0 {
		return 0, twirp.InvalidArgumentError("expected_version", "must not be negative")
	}
	var subject config.Entity
	var op config.Op
	version, err := s.cfg.Feed.Propose(ctx, func(c *config.Config) (config.Change, error) {
		action, err := build(c)
		if err != nil {
			return config.Change{}, err
		}
		if subject, op, err = action.Subject(); err != nil {
			return config.Change{}, err
		}
		return config.Change{Action: action}, s.cfg.KnownNames.check(action)
	}, expected)
	if err != nil {
		return 0, toTwirp(err)
	}
	s.cfg.Log.Info().Str("operation", string(op)).Str("kind", string(subject.Kind)).Str("name", subject.Name).
		Int64("version", version).Msg("configuration change accepted")
	return version, nil
}

// put proposes a change that does not depend on the current configuration.
func (s *baseService) put(ctx context.Context, expected int64, a config.Action) (int64, error) {
	return s.propose(ctx, expected, func(*config.Config) (config.Action, error) { return a, nil })
}

// remove proposes a change that deletes an entity.
func (s *baseService) remove(ctx context.Context, expected int64, a config.Action) (*operatorpb.DeleteResponse, error) {
	version, err := s.put(ctx, expected, a)
	if err != nil {
		return nil, err
	}
	return &operatorpb.DeleteResponse{Version: version}, nil
}

// toTwirp converts an error to a Twirp error with the code and metadata of the operators' API. Keys
// are redacted from its text.
func toTwirp(err error) error {
	var conflict *feed.ConflictError
	var unknown *feed.OutcomeUnknownError
	var field *config.FieldError
	var te twirp.Error
	message := keys.Redact(err.Error())
	switch {
	case errors.As(err, &te):
		return te
	case errors.As(err, &conflict):
		return twirp.NewError(twirp.Aborted, message).
			WithMeta(MetaCurrentVersion, strconv.FormatInt(conflict.Current, 10))
	case errors.As(err, &unknown):
		return twirp.NewError(twirp.Unavailable, message).WithMeta(MetaOutcome, OutcomeUnknown).
			WithMeta(MetaChangeID, unknown.ID.String()).
			WithMeta(MetaVersion, strconv.FormatInt(unknown.Version, 10))
	case errors.As(err, &field):
		return twirp.NewError(twirp.InvalidArgument, message).WithMeta(MetaField, field.Field)
	case errors.Is(err, config.ErrInvalid):
		return twirp.NewError(twirp.InvalidArgument, message)
	case errors.Is(err, config.ErrNotFound):
		return twirp.NewError(twirp.NotFound, message)
	case errors.Is(err, config.ErrExists):
		return twirp.NewError(twirp.AlreadyExists, message)
	case errors.Is(err, storage.ErrUnavailable):
		return unavailable(errors.New(message))
	default:
		return twirp.NewError(twirp.Internal, message)
	}
}

// unavailable returns an unavailable error for a call that changed nothing.
func unavailable(err error) error {
	return twirp.NewError(twirp.Unavailable, err.Error()).WithMeta(MetaOutcome, OutcomeNotRun)
}

// required returns an invalid_argument error unless the message field is present.
func required(field string, present bool) error {
	if present {
		return nil
	}
	return twirp.RequiredArgumentError(field)
}

// find returns the entity with the given name, or a not_found error.
func find[T any](entities map[string]*T, kind config.Kind, name string) (*T, error) {
	v := entities[name]
	if v == nil {
		return nil, toTwirp(&config.EntityError{Entity: config.Entity{Kind: kind, Name: name}, Err: config.ErrNotFound})
	}
	return v, nil
}
