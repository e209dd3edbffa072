package cli

import (
	"context"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
)

type drainCommands struct {
	Create *drainCreate `arg:"subcommand:create" help:"keep new work from a region, failure domain, target or VM"`
	List   *drainList   `arg:"subcommand:list" help:"list drains"`
	Show   *drainShow   `arg:"subcommand:show" help:"show a drain"`
	Delete *drainDelete `arg:"subcommand:delete" help:"end a drain"`
}

// drainKind is the kind of a drain. On the command line it is written with hyphens.
type drainKind string

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *drainKind) UnmarshalText(text []byte) error {
	return parseChoice((*string)(k), string(text), "region", "failure-domain", "target", "vm")
}

type drainCreate struct {
	Kind    drainKind `arg:"positional,required" help:"region, failure-domain, target or vm"`
	Subject string    `arg:"positional,required" help:"name of the region or failure domain, ID of the target or VM"`
	Name    string    `arg:"--name" help:"name of the drain [default: KIND-SUBJECT]"`
	expectOption
}

func (d *drainCreate) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.drains.Create(ctx, &operatorpb.DrainRequest{
		Drain:           &operatorpb.Drain{Name: d.Name, Kind: string(d.Kind), Subject: d.Subject},
		ExpectedVersion: d.ExpectedVersion,
	})
	if err != nil {
		return nil, err
	}
	return lineResult(resp, "drain %q created, version %d", resp.Drain.Name, resp.Version), nil
}

type drainList struct{}

func (*drainList) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.drains.List(ctx, &operatorpb.ListRequest{})
	if err != nil {
		return nil, err
	}
	return tableResult(resp, drainTable(resp.Drains...)), nil
}

func drainTable(drains ...*operatorpb.Drain) *textTable {
	g := newTextTable("name", "kind", "subject")
	for _, d := range drains {
		g.addRow(d.Name, d.Kind, d.Subject)
	}
	return g
}

type drainShow struct {
	Name string `arg:"positional,required"`
}

func (d *drainShow) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.drains.Get(ctx, &operatorpb.GetRequest{Name: d.Name})
	if err != nil {
		return nil, err
	}
	return tableResult(resp, drainTable(resp.Drain)), nil
}

type drainDelete struct {
	Name string `arg:"positional,required"`
	expectOption
}

func (d *drainDelete) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.drains.Delete(ctx, &operatorpb.DeleteRequest{Name: d.Name, ExpectedVersion: d.ExpectedVersion})
	if err != nil {
		return nil, err
	}
	return lineResult(resp, "drain %q deleted, version %d", d.Name, resp.Version), nil
}
