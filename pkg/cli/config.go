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
	g := newTextTable("version", "time", "operation", "kind", "name", "value")
	for _, e := range resp.Entries {
		g.addRow(e.Version, e.Time.AsTime().Format(time.RFC3339), e.Operation, e.Kind, e.Name, e.Value)
	}
	return tableResult(resp, g), nil
}

type configShow struct{}

func (*configShow) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.configuration.Show(ctx, &operatorpb.ShowRequest{})
	if err != nil {
		return nil, err
	}
	return &result{message: resp, text: func(w io.Writer) {
		fmt.Fprintf(w, "version %d\n", resp.Version)
		printSection(w, "accounts", accountTable(resp.Accounts...))
		printSection(w, "keys", keyTable(resp.Keys))
		printSection(w, "routes", routeTable(resp.Routes...))
		printSection(w, "shifts", shiftTable(resp.Shifts...))
		printSection(w, "drains", drainTable(resp.Drains...))
	}}, nil
}

// printSection prints a table with a title. It prints nothing if the table has no rows.
func printSection(w io.Writer, title string, g *textTable) {
	if len(g.rows) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%s\n", title)
	g.render(w)
}
