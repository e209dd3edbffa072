package cli

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
)

type routeCommands struct {
	Create *routeCreate `arg:"subcommand:create" help:"create a route"`
	List   *routeList   `arg:"subcommand:list" help:"list routes"`
	Show   *routeShow   `arg:"subcommand:show" help:"show a route"`
	Update *routeUpdate `arg:"subcommand:update" help:"replace a route"`
	Delete *routeDelete `arg:"subcommand:delete" help:"delete a route"`
}

// mode is a route's mode. On the command line it is written with hyphens.
type mode string

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *mode) UnmarshalText(text []byte) error {
	return parseChoice((*string)(m), string(text), "idempotent", "at-most-once")
}

// priority is a route's priority.
type priority string

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *priority) UnmarshalText(text []byte) error {
	return parseChoice((*string)(p), string(text), "high", "normal", "low")
}

// parseChoice stores text in field if it is one of the choices. The choices have hyphens, and the
// stored value has underscores as in the API. Both are accepted in text.
func parseChoice(field *string, text string, choices ...string) error {
	text = strings.ReplaceAll(text, "_", "-")
	if !slices.Contains(choices, text) {
		return fmt.Errorf("%q must be one of %s", text, strings.Join(choices, ", "))
	}
	*field = strings.ReplaceAll(text, "-", "_")
	return nil
}

// routeFields are the arguments that define a route.
type routeFields struct {
	Name     string        `arg:"positional,required"`
	Path     string        `arg:"--path,required" help:"path prefix; the longest match wins"`
	Pool     string        `arg:"--pool,required" help:"pool of targets"`
	Mode     mode          `arg:"--mode,required" help:"idempotent or at-most-once"`
	Priority priority      `arg:"--priority" default:"normal" help:"high, normal or low"`
	Timeout  time.Duration `arg:"--timeout" default:"30s" help:"bound from arrival to answer"`
	Open     bool          `arg:"--open" help:"needs no key"`
	Methods  []string      `arg:"--method,separate" placeholder:"METHOD" help:"HTTP method; may be repeated; none means all"`
	expectOption
}

func (r *routeFields) request() *operatorpb.RouteRequest {
	return &operatorpb.RouteRequest{
		Route: &operatorpb.Route{
			Name:       r.Name,
			PathPrefix: r.Path,
			Pool:       r.Pool,
			Mode:       string(r.Mode),
			Priority:   string(r.Priority),
			Timeout:    durationpb.New(r.Timeout),
			Open:       r.Open,
			Methods:    r.Methods,
		},
		ExpectedVersion: r.ExpectedVersion,
	}
}

type routeCreate struct{ routeFields }

func (r *routeCreate) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.routes.Create(ctx, r.request())
	if err != nil {
		return nil, err
	}
	return lineResult(resp, "route %q created, version %d", r.Name, resp.Version), nil
}

type routeUpdate struct{ routeFields }

func (r *routeUpdate) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.routes.Update(ctx, r.request())
	if err != nil {
		return nil, err
	}
	return lineResult(resp, "route %q updated, version %d", r.Name, resp.Version), nil
}

type routeList struct{}

func (*routeList) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.routes.List(ctx, &operatorpb.ListRequest{})
	if err != nil {
		return nil, err
	}
	return tableResult(resp, routeTable(resp.Routes...)), nil
}

func routeTable(routes ...*operatorpb.Route) *textTable {
	g := newTextTable("name", "path", "methods", "pool", "mode", "priority", "timeout", "open")
	for _, r := range routes {
		methods := strings.Join(r.Methods, ",")
		g.addRow(r.Name, r.PathPrefix, firstNonEmpty(methods, "all"), r.Pool, r.Mode, r.Priority, r.Timeout.AsDuration(), r.Open)
	}
	return g
}

type routeShow struct {
	Name string `arg:"positional,required"`
}

func (r *routeShow) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.routes.Get(ctx, &operatorpb.GetRequest{Name: r.Name})
	if err != nil {
		return nil, err
	}
	return tableResult(resp, routeTable(resp.Route)), nil
}

type routeDelete struct {
	Name string `arg:"positional,required"`
	expectOption
}

func (r *routeDelete) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.routes.Delete(ctx, &operatorpb.DeleteRequest{Name: r.Name, ExpectedVersion: r.ExpectedVersion})
	if err != nil {
		return nil, err
	}
	return lineResult(resp, "route %q deleted, version %d", r.Name, resp.Version), nil
}
