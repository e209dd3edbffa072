package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
)

type configCommands struct {
	History *configHistory `arg:"subcommand:history" help:"list changes, newest first"`
	Show    *configShow    `arg:"subcommand:show" help:"show the configuration in force on the server"`
}

type configHistory struct {
	Before int64 `arg:"--before" placeholder:"VERSION" help:"list changes below this version"`
	Limit  int32 `arg:"--limit" default:"50" help:"at most 500"`
}

func (h *configHistory) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.configuration.History(ctx, &operatorpb.HistoryRequest{BeforeVersion: h.Before, Limit: h.Limit})
	if err != nil {
		return nil, err
	}
	g := newGrid("version", "time", "operation", "kind", "name", "value")
	for _, e := range resp.Entries {
		g.add(e.Version, e.Time.AsTime().Format(time.RFC3339), e.Operation, e.Kind, e.Name, e.Value)
	}
	return listing(resp, g), nil
}

type configShow struct{}

func (*configShow) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.configuration.Show(ctx, &operatorpb.ShowRequest{})
	if err != nil {
		return nil, err
	}
	return &result{message: resp, text: func(w io.Writer) {
		fmt.Fprintf(w, "version %d\n", resp.Version)
		section(w, "accounts", accountGrid(resp.Accounts...))
		section(w, "keys", keyGrid(resp.Keys))
		section(w, "routes", routeGrid(resp.Routes...))
		section(w, "shifts", shiftGrid(resp.Shifts...))
		section(w, "drains", drainGrid(resp.Drains...))
	}}, nil
}

// section prints a titled table; an empty one is left out.
func section(w io.Writer, title string, g *grid) {
	if len(g.rows) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%s\n", title)
	g.render(w)
}
