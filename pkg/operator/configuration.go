package operator

import (
	"context"
	"encoding/json"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/types/known/timestamppb"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
	"crocusramp.dev/crocusramp/pkg/config"
)

// The default and largest number of changes in a History response.
const (
	defaultHistoryLimit = 50
	maxHistoryLimit     = 500
)

// configuration implements the Configuration service.
type configuration struct{ baseService }

// History implements operatorpb.Configuration.
func (s *configuration) History(ctx context.Context, r *operatorpb.HistoryRequest) (*operatorpb.HistoryResponse, error) {
	limit := int(r.Limit)
	if limit < 0 || limit > maxHistoryLimit || r.BeforeVersion < 0 {
		return nil, twirp.InvalidArgumentError("limit", "and before_version must not be negative, nor limit above 500")
	}
	if limit == 0 {
		limit = defaultHistoryLimit
	}
	changes, err := s.cfg.Feed.History(ctx, r.BeforeVersion, limit)
	if err != nil {
		return nil, toTwirp(err)
	}
	resp := &operatorpb.HistoryResponse{}
	for _, ch := range changes {
		e, err := historyEntry(ch)
		if err != nil {
			return nil, toTwirp(err)
		}
		resp.Entries = append(resp.Entries, e)
	}
	return resp, nil
}

func historyEntry(ch config.Change) (*operatorpb.HistoryEntry, error) {
	subject, op, err := ch.Action.Subject()
	if err != nil {
		return nil, err
	}
	value, err := historyValue(ch.Action, op)
	if err != nil {
		return nil, err
	}
	return &operatorpb.HistoryEntry{
		Version:   ch.Version,
		ChangeId:  ch.ID.String(),
		Time:      timestamppb.New(ch.Time),
		Kind:      string(subject.Kind),
		Name:      subject.Name,
		Operation: string(op),
		Value:     value,
	}, nil
}

// historyValue returns the entity after a change as JSON, without the salt and hash of a key. It is
// empty for a deletion.
func historyValue(a config.Action, op config.Op) (string, error) {
	if op == config.OpDelete {
		return "", nil
	}
	var value any
	switch {
	case a.Account != nil:
		value = a.Account.Value
	case a.Key != nil:
		value = struct {
			ID      string `json:"id"`
			Account string `json:"account"`
		}{a.Key.Value.ID, a.Key.Value.Account}
	case a.Route != nil:
		value = a.Route.Value
	case a.Shift != nil:
		value = a.Shift.Value
	case a.Drain != nil:
		value = a.Drain.Value
	}
	data, err := json.Marshal(value)
	return string(data), err
}

// Show implements operatorpb.Configuration.
func (s *configuration) Show(context.Context, *operatorpb.ShowRequest) (*operatorpb.ShowResponse, error) {
	c, err := s.snapshot()
	if err != nil {
		return nil, err
	}
	return &operatorpb.ShowResponse{
		Version:  c.Version,
		Accounts: sorted(c.Accounts, accountMessage),
		Keys:     sorted(c.Keys, keyMessage),
		Routes:   sorted(c.Routes, routeMessage),
		Shifts:   sorted(c.Shifts, shiftMessage),
		Drains:   sorted(c.Drains, drainMessage),
	}, nil
}
