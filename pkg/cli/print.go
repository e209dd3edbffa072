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

// clearScreen moves the cursor home and clears a terminal.
const clearScreen = "\x1b[H\x1b[2J"

// result is the answer to a command.
type result struct {
	// message is what --json prints.
	message proto.Message
	// text is what is printed otherwise.
	text func(w io.Writer)
}

// done is the result of a write, of which text needs one line only.
func done(message proto.Message, format string, a ...any) *result {
	return &result{message: message, text: func(w io.Writer) { fmt.Fprintf(w, format+"\n", a...) }}
}

// listing is the result of a read that is shown as one table.
func listing(message proto.Message, t *grid) *result {
	return &result{message: message, text: t.render}
}

// printer writes results.
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
	// protojson varies its spacing on purpose; scripts compare output.
	var buf bytes.Buffer
	if err := json.Indent(&buf, data, "", "  "); err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	buf.WriteByte('\n')
	_, err = buf.WriteTo(p.out)
	return err
}

// grid is a table under construction.
type grid struct {
	header table.Row
	rows   []table.Row
}

func newGrid(columns ...string) *grid {
	g := &grid{}
	for _, c := range columns {
		g.header = append(g.header, c)
	}
	return g
}

func (g *grid) add(cells ...any) { g.rows = append(g.rows, cells) }

func (g *grid) render(w io.Writer) {
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

// number prints a float as short as it can be read back.
func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// watcher is a command that can refresh its result.
type watcher interface {
	// watch returns the period, 0 to run once.
	watch() time.Duration
}

// watch runs the command until ctx ends. A failed call ends it too.
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
