package cli

import (
	"context"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
)

// expect is the option of every command that changes the configuration.
type expect struct {
	Version int64 `arg:"--expect-version" placeholder:"N" help:"refuse unless the configuration is at this version"`
}

type accountCommands struct {
	Create *accountCreate `arg:"subcommand:create" help:"create a client account"`
	List   *accountList   `arg:"subcommand:list" help:"list client accounts"`
	Show   *accountShow   `arg:"subcommand:show" help:"show a client account"`
	Update *accountUpdate `arg:"subcommand:update" help:"change a client account"`
	Delete *accountDelete `arg:"subcommand:delete" help:"delete a client account and its keys"`
}

type accountCreate struct {
	Name   string  `arg:"positional,required"`
	Rate   float64 `arg:"--rate,required" help:"requests a second over the whole fleet"`
	Burst  float64 `arg:"--burst,required" help:"requests that may come at once"`
	Weight int32   `arg:"--weight" default:"1" help:"part of the capacity under contention"`
	expect
}

func (a *accountCreate) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.accounts.Create(ctx, &operatorpb.CreateAccountRequest{
		Account:         &operatorpb.Account{Name: a.Name, Rate: a.Rate, Burst: a.Burst, Weight: a.Weight},
		ExpectedVersion: a.Version,
	})
	if err != nil {
		return nil, err
	}
	return done(resp, "account %q created, version %d", a.Name, resp.Version), nil
}

type accountList struct{}

func (*accountList) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.accounts.List(ctx, &operatorpb.ListRequest{})
	if err != nil {
		return nil, err
	}
	return listing(resp, accountGrid(resp.Accounts...)), nil
}

func accountGrid(accounts ...*operatorpb.Account) *grid {
	g := newGrid("name", "rate", "burst", "weight")
	for _, a := range accounts {
		g.add(a.Name, number(a.Rate), number(a.Burst), a.Weight)
	}
	return g
}

type accountShow struct {
	Name string `arg:"positional,required"`
}

func (a *accountShow) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.accounts.Get(ctx, &operatorpb.GetRequest{Name: a.Name})
	if err != nil {
		return nil, err
	}
	return listing(resp, accountGrid(resp.Account)), nil
}

type accountUpdate struct {
	Name   string   `arg:"positional,required"`
	Rate   *float64 `arg:"--rate" help:"requests a second over the whole fleet"`
	Burst  *float64 `arg:"--burst" help:"requests that may come at once"`
	Weight *int32   `arg:"--weight" help:"part of the capacity under contention"`
	expect
}

func (a *accountUpdate) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.accounts.Update(ctx, &operatorpb.UpdateAccountRequest{
		Name: a.Name, Rate: a.Rate, Burst: a.Burst, Weight: a.Weight, ExpectedVersion: a.Version,
	})
	if err != nil {
		return nil, err
	}
	return done(resp, "account %q updated, version %d", a.Name, resp.Version), nil
}

type accountDelete struct {
	Name string `arg:"positional,required"`
	expect
}

func (a *accountDelete) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.accounts.Delete(ctx, &operatorpb.DeleteRequest{Name: a.Name, ExpectedVersion: a.Version})
	if err != nil {
		return nil, err
	}
	return done(resp, "account %q deleted, version %d", a.Name, resp.Version), nil
}

type limitCommands struct {
	Set  *limitSet  `arg:"subcommand:set" help:"change rate and burst of a client account"`
	List *limitList `arg:"subcommand:list" help:"list the limits"`
}

type limitSet struct {
	Account string   `arg:"positional,required"`
	Rate    *float64 `arg:"--rate" help:"requests a second over the whole fleet"`
	Burst   *float64 `arg:"--burst" help:"requests that may come at once"`
	expect
}

func (l *limitSet) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.limits.Set(ctx, &operatorpb.SetLimitRequest{
		Account: l.Account, Rate: l.Rate, Burst: l.Burst, ExpectedVersion: l.Version,
	})
	if err != nil {
		return nil, err
	}
	a := resp.Account
	return done(resp, "limit of %q set to rate %s, burst %s, version %d",
		a.Name, number(a.Rate), number(a.Burst), resp.Version), nil
}

type limitList struct{}

func (*limitList) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.limits.List(ctx, &operatorpb.ListRequest{})
	if err != nil {
		return nil, err
	}
	g := newGrid("account", "rate", "burst")
	for _, l := range resp.Limits {
		g.add(l.Account, number(l.Rate), number(l.Burst))
	}
	return listing(resp, g), nil
}
