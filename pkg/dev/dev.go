// Package dev runs a small fleet in one process over loopback TCP: stand-ins for
// the platform, targets in two regions and, by default, three VMs.
package dev

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"crocusramp.dev/crocusramp/pkg/daemon"
	"crocusramp.dev/crocusramp/pkg/settings"
	"crocusramp.dev/crocusramp/pkg/standin/directory"
	"crocusramp.dev/crocusramp/pkg/standin/target"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/pkg/telemetry"
	"crocusramp.dev/crocusramp/platform/standin"
)

const (
	anyPort     = "127.0.0.1:0"
	targetSlots = 9
	connections = 360
	// defaultServiceTime is how long a stand-in target takes for a request.
	defaultServiceTime = 5 * time.Millisecond
)

// serviceTime is a variable so that the benchmark can set it.
var serviceTime = defaultServiceTime

var (
	regions        = []string{"north", "south"}
	pools          = []string{"certificates", "filings"}
	defaultCallers = []string{"127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:8082"}
)

// fleet holds the servers that Run starts.
type fleet struct {
	ctx         context.Context
	group       *errgroup.Group
	log         zerolog.Logger
	platform    settings.Platform
	directory   *directory.Server
	targetPools []settings.Pool
	daemons     []*daemon.Daemon
}

// Run starts the fleet, prints example commands to stdout, and serves until ctx
// ends.
func Run(ctx context.Context, c *daemon.DevCommand, stdout, stderr io.Writer) error {
	if len(c.Callers) == 0 {
		c.Callers = defaultCallers
	}
	log, err := telemetry.NewLogger(stderr, telemetry.LogConfig{Level: c.LogLevel, Text: true})
	if err != nil {
		return fmt.Errorf("%w: --log-level: %w", settings.ErrInvalid, err)
	}
	// The platform and the targets run until the VMs have stopped, because a
	// stopping VM still releases its slots.
	standinCtx, stopStandins := context.WithCancel(context.Background())
	defer stopStandins()
	f := &fleet{ctx: standinCtx, group: &errgroup.Group{}, log: log}
	if err := f.startPlatform(); err != nil {
		return err
	}
	if err := f.startTargets(c.Targets); err != nil {
		return err
	}
	if err := f.addVMs(ctx, c); err != nil {
		return err
	}
	vms, ctx := errgroup.WithContext(ctx)
	for _, d := range f.daemons {
		vms.Go(func() error { return d.Run(ctx) })
	}
	vms.Go(func() error { return seed(ctx, c, stdout) })
	err = vms.Wait()
	stopStandins()
	_ = f.group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serve runs a stand-in on a free port until the fleet's context ends.
func (f *fleet) serve(handler http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", fmt.Errorf("stand-in: %w", err)
	}
	server := &http.Server{Handler: handler}
	f.group.Go(func() error { return server.Serve(l) })
	f.group.Go(func() error { <-f.ctx.Done(); return server.Close() })
	return l.Addr().String(), nil
}

func (f *fleet) startPlatform() error {
	f.directory = directory.New()
	addresses := make([]string, 0, 2)
	for _, h := range []http.Handler{standin.New().Handler(), f.directory.Handler()} {
		address, err := f.serve(h)
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	f.platform = settings.Platform{
		Store:     settings.Store{Address: addresses[0]},
		Directory: settings.Directory{URL: "http://" + addresses[1] + "/"},
	}
	return nil
}

func (f *fleet) startTargets(perRegion int) error {
	for _, pool := range pools {
		p := settings.Pool{Name: pool}
		for _, region := range regions {
			for i := range perRegion {
				id := fmt.Sprintf("%s-%s-%d", pool, region, i+1)
				server := target.New(target.Config{Name: id, Slots: targetSlots, ServiceTime: serviceTime})
				address, err := f.serve(server.Handler())
				if err != nil {
					return err
				}
				p.Targets = append(p.Targets, settings.Target{
					ID: id, Address: address, Region: region, FailureDomain: region + "-a",
					Slots: targetSlots, Connections: connections,
				})
			}
		}
		f.targetPools = append(f.targetPools, p)
	}
	return nil
}

// addVMs builds the VMs, which binds their listeners, and then adds them to the
// platform's list of VMs.
func (f *fleet) addVMs(ctx context.Context, c *daemon.DevCommand) error {
	var list []storage.VM
	for i, callers := range c.Callers {
		operators := anyPort
		if i == 0 {
			operators = c.Operators
		}
		s, err := f.settings(i, callers, operators)
		if err != nil {
			return err
		}
		d, err := daemon.New(ctx, s, f.log.With().Str("vm", s.VM.ID).Logger())
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
		list = append(list, storage.VM{ID: s.VM.ID, PeerAddress: d.PeerAddress(), State: storage.VMLive})
	}
	f.directory.Set(list)
	return nil
}

// settings returns the settings of VM i. It uses settings.Parse so that they are
// validated like those from a file.
func (f *fleet) settings(i int, callers, operators string) (*settings.Settings, error) {
	region := regions[i%len(regions)]
	text, err := json.Marshal(settings.Settings{
		VM:       settings.VM{ID: fmt.Sprintf("vm-%d", i+1), Region: region, FailureDomain: region + "-a"},
		Listen:   settings.Listen{Callers: callers, Operators: operators, Peers: anyPort},
		Regions:  regions,
		Platform: f.platform,
		Pools:    f.targetPools,
		Stop:     settings.Stop{Notice: settings.Duration{Duration: time.Second}},
	})
	if err != nil {
		return nil, fmt.Errorf("settings of VM %d: %w", i+1, err)
	}
	return settings.Parse(text)
}
