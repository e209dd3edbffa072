package cli

import (
	"context"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
)

type shiftCommands struct {
	Create *shiftCreate `arg:"subcommand:create" help:"create a traffic shift"`
	List   *shiftList   `arg:"subcommand:list" help:"list traffic shifts"`
	Show   *shiftShow   `arg:"subcommand:show" help:"show a traffic shift"`
	Update *shiftUpdate `arg:"subcommand:update" help:"replace a traffic shift"`
	Delete *shiftDelete `arg:"subcommand:delete" help:"delete a traffic shift"`
}

// shiftFields are the arguments that define a shift.
type shiftFields struct {
	Name string  `arg:"positional,required"`
	Pool string  `arg:"--pool,required" help:"pool of targets"`
	From string  `arg:"--from,required" help:"region that traffic leaves"`
	To   string  `arg:"--to,required" help:"region that traffic moves to"`
	Cap  float64 `arg:"--cap,required" help:"largest part that moves, in percent"`
	expectOption
}

func (s *shiftFields) request() *operatorpb.ShiftRequest {
	return &operatorpb.ShiftRequest{
		Shift:           &operatorpb.Shift{Name: s.Name, Pool: s.Pool, From: s.From, To: s.To, CapPercent: s.Cap},
		ExpectedVersion: s.ExpectedVersion,
	}
}

type shiftCreate struct{ shiftFields }

func (s *shiftCreate) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.shifts.Create(ctx, s.request())
	if err != nil {
		return nil, err
	}
	return lineResult(resp, "shift %q created, version %d", s.Name, resp.Version), nil
}

type shiftUpdate struct{ shiftFields }

func (s *shiftUpdate) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.shifts.Update(ctx, s.request())
	if err != nil {
		return nil, err
	}
	return lineResult(resp, "shift %q updated, version %d", s.Name, resp.Version), nil
}

type shiftList struct{}

func (*shiftList) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.shifts.List(ctx, &operatorpb.ListRequest{})
	if err != nil {
		return nil, err
	}
	return tableResult(resp, shiftTable(resp.Shifts...)), nil
}

func shiftTable(shifts ...*operatorpb.Shift) *textTable {
	g := newTextTable("name", "pool", "from", "to", "cap %")
	for _, s := range shifts {
		g.addRow(s.Name, s.Pool, s.From, s.To, formatNumber(s.CapPercent))
	}
	return g
}

type shiftShow struct {
	Name string `arg:"positional,required"`
}

func (s *shiftShow) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.shifts.Get(ctx, &operatorpb.GetRequest{Name: s.Name})
	if err != nil {
		return nil, err
	}
	return tableResult(resp, shiftTable(resp.Shift)), nil
}

type shiftDelete struct {
	Name string `arg:"positional,required"`
	expectOption
}

func (s *shiftDelete) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.shifts.Delete(ctx, &operatorpb.DeleteRequest{Name: s.Name, ExpectedVersion: s.ExpectedVersion})
	if err != nil {
		return nil, err
	}
	return lineResult(resp, "shift %q deleted, version %d", s.Name, resp.Version), nil
}
