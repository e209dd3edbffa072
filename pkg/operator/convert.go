package operator

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
	"crocusramp.dev/crocusramp/pkg/config"
)

// sorted converts the entities of a map to messages, sorted by name.
func sorted[T, M any](entities map[string]*T, convert func(*T) *M) []*M {
	out := make([]*M, 0, len(entities))
	for _, name := range slices.Sorted(maps.Keys(entities)) {
		out = append(out, convert(entities[name]))
	}
	return out
}

func accountMessage(a *config.Account) *operatorpb.Account {
	return &operatorpb.Account{Name: a.Name, Rate: a.Rate, Burst: a.Burst, Weight: int32(a.Weight)}
}

func limitMessage(a *config.Account) *operatorpb.Limit {
	return &operatorpb.Limit{Account: a.Name, Rate: a.Rate, Burst: a.Burst}
}

// keyMessage omits the salt and hash of the key.
func keyMessage(k *config.Key) *operatorpb.Key {
	return &operatorpb.Key{Id: k.ID, Account: k.Account, Created: timestamppb.New(k.Created)}
}

func routeMessage(r *config.Route) *operatorpb.Route {
	return &operatorpb.Route{
		Name:       r.Name,
		PathPrefix: r.PathPrefix,
		Methods:    r.Methods,
		Pool:       r.Pool,
		Mode:       string(r.Mode),
		Priority:   string(r.Priority),
		Open:       r.Open,
		Timeout:    durationpb.New(r.Timeout),
	}
}

func shiftMessage(s *config.Shift) *operatorpb.Shift {
	return &operatorpb.Shift{Name: s.Name, Pool: s.Pool, From: s.From, To: s.To, CapPercent: s.CapPercent}
}

func drainMessage(d *config.Drain) *operatorpb.Drain {
	return &operatorpb.Drain{Name: d.Name, Kind: string(d.Kind), Subject: d.Subject}
}
