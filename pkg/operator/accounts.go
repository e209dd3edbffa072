package operator

import (
	"context"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
	"crocusramp.dev/crocusramp/pkg/config"
)

// accounts implements the Accounts service.
type accounts struct{ baseService }

const defaultWeight = 1

// Create implements operatorpb.Accounts.
func (s *accounts) Create(ctx context.Context, r *operatorpb.CreateAccountRequest) (*operatorpb.AccountResponse, error) {
	if err := required("account", r.Account != nil); err != nil {
		return nil, err
	}
	a := config.Account{Name: r.Account.Name, Rate: r.Account.Rate, Burst: r.Account.Burst, Weight: int(r.Account.Weight)}
	if a.Weight == 0 {
		a.Weight = defaultWeight
	}
	version, err := s.put(ctx, r.ExpectedVersion, config.Action{Account: config.Create(a.Name, a)})
	if err != nil {
		return nil, err
	}
	return &operatorpb.AccountResponse{Account: accountMessage(&a), Version: version}, nil
}

// accountPatch holds the fields that an update changes; nil fields keep their value.
type accountPatch struct {
	rate, burst *float64
	weight      *int32
}

// update applies a patch to an account.
func (s *baseService) update(ctx context.Context, name string, p accountPatch, expected int64) (*operatorpb.AccountResponse, error) {
	var a config.Account
	version, err := s.propose(ctx, expected, func(c *config.Config) (config.Action, error) {
		current, err := find(c.Accounts, config.KindAccount, name)
		if err != nil {
			return config.Action{}, err
		}
		a = *current
		if p.rate != nil {
			a.Rate = *p.rate
		}
		if p.burst != nil {
			a.Burst = *p.burst
		}
		if p.weight != nil {
			a.Weight = int(*p.weight)
		}
		return config.Action{Account: config.Update(name, a)}, nil
	})
	if err != nil {
		return nil, err
	}
	return &operatorpb.AccountResponse{Account: accountMessage(&a), Version: version}, nil
}

// Update implements operatorpb.Accounts.
func (s *accounts) Update(ctx context.Context, r *operatorpb.UpdateAccountRequest) (*operatorpb.AccountResponse, error) {
	return s.update(ctx, r.Name, accountPatch{rate: r.Rate, burst: r.Burst, weight: r.Weight}, r.ExpectedVersion)
}

// Delete implements operatorpb.Accounts.
func (s *accounts) Delete(ctx context.Context, r *operatorpb.DeleteRequest) (*operatorpb.DeleteResponse, error) {
	return s.remove(ctx, r.ExpectedVersion, config.Action{Account: config.Delete[config.Account](r.Name)})
}

// Get implements operatorpb.Accounts.
func (s *accounts) Get(_ context.Context, r *operatorpb.GetRequest) (*operatorpb.AccountResponse, error) {
	c, err := s.snapshot()
	if err != nil {
		return nil, err
	}
	a, err := find(c.Accounts, config.KindAccount, r.Name)
	if err != nil {
		return nil, err
	}
	return &operatorpb.AccountResponse{Account: accountMessage(a), Version: c.Version}, nil
}

// List implements operatorpb.Accounts.
func (s *accounts) List(context.Context, *operatorpb.ListRequest) (*operatorpb.ListAccountsResponse, error) {
	c, err := s.snapshot()
	if err != nil {
		return nil, err
	}
	return &operatorpb.ListAccountsResponse{Accounts: sorted(c.Accounts, accountMessage), Version: c.Version}, nil
}

// limits implements the Limits service.
type limits struct{ baseService }

// Set implements operatorpb.Limits.
func (s *limits) Set(ctx context.Context, r *operatorpb.SetLimitRequest) (*operatorpb.AccountResponse, error) {
	return s.update(ctx, r.Account, accountPatch{rate: r.Rate, burst: r.Burst}, r.ExpectedVersion)
}

// List implements operatorpb.Limits.
func (s *limits) List(context.Context, *operatorpb.ListRequest) (*operatorpb.ListLimitsResponse, error) {
	c, err := s.snapshot()
	if err != nil {
		return nil, err
	}
	return &operatorpb.ListLimitsResponse{Limits: sorted(c.Accounts, limitMessage), Version: c.Version}, nil
}
