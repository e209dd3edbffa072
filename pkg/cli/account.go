package cli

import (
	"context"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
)

// expectOption is embedded in every command that changes the configuration.
type expectOption struct {
	ExpectedVersion int64 `arg:"--expect-version" placeholder:"N" help:"refuse unless the configuration is at this version"`
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
	expectOption
}

func (a *accountCreate) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.accounts.Create(ctx, &operatorpb.CreateAccountRequest{
		Account:         &operatorpb.Account{Name: a.Name, Rate: a.Rate, Burst: a.Burst, Weight: a.Weight},
		ExpectedVersion: a.ExpectedVersion,
	})
	if err != nil {
		return nil, err
	}
	return lineResult(resp, "account %q created, version %d", a.Name, resp.Version), nil
}

type accountList struct{}

func (*accountList) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.accounts.List(ctx, &operatorpb.ListRequest{})
	if err != nil {
		return nil, err
	}
	return tableResult(resp, accountTable(resp.Accounts...)), nil
}

func accountTable(accounts ...*operatorpb.Account) *textTable {
	g := newTextTable("name", "rate", "burst", "weight")
	for _, a := range accounts {
		g.addRow(a.Name, formatNumber(a.Rate), formatNumber(a.Burst), a.Weight)
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
	return tableResult(resp, accountTable(resp.Account)), nil
}

type accountUpdate struct {
	Name   string   `arg:"positional,required"`
	Rate   *float64 `arg:"--rate" help:"requests a second over the whole fleet"`
	Burst  *float64 `arg:"--burst" help:"requests that may come at once"`
	Weight *int32   `arg:"--weight" help:"part of the capacity under contention"`
	expectOption
}

func (a *accountUpdate) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.accounts.Update(ctx, &operatorpb.UpdateAccountRequest{
		Name: a.Name, Rate: a.Rate, Burst: a.Burst, Weight: a.Weight, ExpectedVersion: a.ExpectedVersion,
	})
	if err != nil {
		return nil, err
	}
	return lineResult(resp, "account %q updated, version %d", a.Name, resp.Version), nil
}

type accountDelete struct {
	Name string `arg:"positional,required"`
	expectOption
}

func (a *accountDelete) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.accounts.Delete(ctx, &operatorpb.DeleteRequest{Name: a.Name, ExpectedVersion: a.ExpectedVersion})
	if err != nil {
		return nil, err
	}
	return lineResult(resp, "account %q deleted, version %d", a.Name, resp.Version), nil
}

type limitCommands struct {
	Set  *limitSet  `arg:"subcommand:set" help:"change rate and burst of a client account"`
	List *limitList `arg:"subcommand:list" help:"list the limits"`
}

type limitSet struct {
	Account string   `arg:"positional,required"`
	Rate    *float64 `arg:"--rate" help:"requests a second over the whole fleet"`
	Burst   *float64 `arg:"--burst" help:"requests that may come at once"`
	expectOption
}

func (l *limitSet) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.limits.Set(ctx, &operatorpb.SetLimitRequest{
		Account: l.Account, Rate: l.Rate, Burst: l.Burst, ExpectedVersion: l.ExpectedVersion,
	})
	if err != nil {
		return nil, err
	}
	a := resp.Account
	return lineResult(resp, "limit of %q set to rate %s, burst %s, version %d",
		a.Name, formatNumber(a.Rate), formatNumber(a.Burst), resp.Version), nil
}

type limitList struct{}

func (*limitList) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.limits.List(ctx, &operatorpb.ListRequest{})
	if err != nil {
		return nil, err
	}
	g := newTextTable("account", "rate", "burst")
	for _, l := range resp.Limits {
		g.addRow(l.Account, formatNumber(l.Rate), formatNumber(l.Burst))
	}
	return tableResult(resp, g), nil
}
