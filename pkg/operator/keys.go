package operator

import (
	"context"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/keys"
)

// accountKeys implements the Keys service.
type accountKeys struct{ baseService }

// Grant implements operatorpb.Keys. Only its response contains the key's text.
func (s *accountKeys) Grant(ctx context.Context, r *operatorpb.GrantKeyRequest) (*operatorpb.GrantKeyResponse, error) {
	key, text := keys.New(r.Account)
	version, err := s.put(ctx, r.ExpectedVersion, config.Action{Key: config.Create(key.ID, key)})
	if err != nil {
		return nil, err
	}
	return &operatorpb.GrantKeyResponse{Id: key.ID, Key: text, Account: r.Account, Version: version}, nil
}

// Withdraw implements operatorpb.Keys.
func (s *accountKeys) Withdraw(ctx context.Context, r *operatorpb.WithdrawKeyRequest) (*operatorpb.DeleteResponse, error) {
	return s.remove(ctx, r.ExpectedVersion, config.Action{Key: config.Delete[config.Key](r.Id)})
}

// List implements operatorpb.Keys.
func (s *accountKeys) List(_ context.Context, r *operatorpb.ListKeysRequest) (*operatorpb.ListKeysResponse, error) {
	c, err := s.snapshot()
	if err != nil {
		return nil, err
	}
	if r.Account == "" {
		return &operatorpb.ListKeysResponse{Keys: sorted(c.Keys, keyMessage), Version: c.Version}, nil
	}
	if _, err := find(c.Accounts, config.KindAccount, r.Account); err != nil {
		return nil, err
	}
	matching := map[string]*config.Key{}
	for id, k := range c.Keys {
		if k.Account == r.Account {
			matching[id] = k
		}
	}
	return &operatorpb.ListKeysResponse{Keys: sorted(matching, keyMessage), Version: c.Version}, nil
}
