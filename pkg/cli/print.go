package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// clearScreen moves the cursor to the top left and clears the terminal.
const clearScreen = "\x1b[H\x1b[2J"

// result is the output of a command.
type result struct {
	// message is what --json prints.
	message proto.Message
	// text prints the result without --json.
	text func(w io.Writer)
}

// lineResult returns the result of a change, whose text is one formatted line.
func lineResult(message proto.Message, format string, a ...any) *result {
	return &result{message: message, text: func(w io.Writer) { fmt.Fprintf(w, format+"\n", a...) }}
}

// tableResult returns the result of a query, whose text is one table.
func tableResult(message proto.Message, t *textTable) *result {
	return &result{message: message, text: t.render}
}

// printer prints results to out, as text or JSON.
type printer struct {
	out  io.Writer
	json bool
}

func (p printer) print(r *result) error {
	if !p.json {
		r.text(p.out)
		return nil
	}
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(r.message)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	// protojson deliberately varies its spacing. Scripts compare the output, so the JSON is indented
	// again.
	var buf bytes.Buffer
	if err := json.Indent(&buf, data, "", "  "); err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	buf.WriteByte('\n')
	_, err = buf.WriteTo(p.out)
	return err
}

// textTable is a table to print.
type textTable struct {
	header table.Row
	rows   []table.Row
}

func newTextTable(columns ...string) *textTable {
	g := &textTable{}
	for _, c := range columns {
		g.header = append(g.header, c)
	}
	return g
}

func (g *textTable) addRow(cells ...any) { g.rows = append(g.rows, cells) }

func (g *textTable) render(w io.Writer) {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleDefault)
	t.Style().Options = table.OptionsNoBordersAndSeparators
	t.Style().Box.PaddingLeft = ""
	t.Style().Box.PaddingRight = "  "
	t.AppendHeader(g.header)
	t.AppendRows(g.rows)
	t.SuppressTrailingSpaces()
	t.Render()
}

// formatNumber formats a float with the fewest digits that identify it exactly, without an exponent.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// watchable is a command that can be run periodically.
type watchable interface {
	// refreshPeriod returns the period, or 0 to run the command once.
	refreshPeriod() time.Duration
}

// watch runs the command and prints its result once per period, until ctx ends or a call fails.
func watch(ctx context.Context, cmd command, c *client, p printer, period time.Duration) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		r, err := cmd.run(ctx, c)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if !p.json {
			fmt.Fprint(p.out, clearScreen)
		}
		if err := p.print(r); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}
