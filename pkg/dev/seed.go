package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/types/known/durationpb"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
	"crocusramp.dev/crocusramp/pkg/daemon"
)

const (
	seedPeriod   = 100 * time.Millisecond
	seedTimeout  = 30 * time.Second
	routeTimeout = 2 * time.Second
)

// seed creates an example client account, its routes and a key through the
// operators' API and prints commands that use them.
func seed(ctx context.Context, c *daemon.DevCommand, stdout io.Writer) error {
	server := "http://" + c.Operators
	if err := create(ctx, server); err != nil {
		return err
	}
	grant, err := operatorpb.NewKeysProtobufClient(server, http.DefaultClient).
		Grant(ctx, &operatorpb.GrantKeyRequest{Account: "example"})
	if err != nil {
		return fmt.Errorf("granting the example key: %w", err)
	}
	fmt.Fprintf(stdout, example, c.Callers[0], grant.GetKey(), c.Operators)
	return nil
}

// example is a format string. Its arguments are a VM's address for callers, a
// client account key and the address of the operators' API.
const example = `
The fleet is up. Try, in another terminal:

  # which VMs to use
  curl -s -H 'Authorization: Bearer %[2]s' http://%[1]s/v1/locate
  # an idempotent look-up
  curl -s -H 'Authorization: Bearer %[2]s' http://%[1]s/certificates/42
  # an at-most-once filing; sent again, it does not run again
  curl -s -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: letter-1' -d 'text' http://%[1]s/filings
  # the operators' side
  go run ./cmd/crocusramp --server http://%[3]s status
  go run ./cmd/crocusramp --server http://%[3]s account list

Stop with Ctrl-C.
`

// create creates the example client account and its routes. It retries the first
// change until the VM accepts it or seedTimeout has passed.
func create(ctx context.Context, server string) error {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	accounts := operatorpb.NewAccountsProtobufClient(server, http.DefaultClient)
	account := &operatorpb.Account{Name: "example", Rate: 100, Burst: 50}
	for {
		_, err := accounts.Create(ctx, &operatorpb.CreateAccountRequest{Account: account})
		var refused twirp.Error
		if err == nil || (errors.As(err, &refused) && refused.Code() == twirp.AlreadyExists) {
			break
		}
		select {
		case <-time.After(seedPeriod):
		case <-ctx.Done():
			return fmt.Errorf("creating the example client account: %w", errors.Join(ctx.Err(), err))
		}
	}
	routes := operatorpb.NewRoutesProtobufClient(server, http.DefaultClient)
	for _, r := range []*operatorpb.Route{
		{Name: "certificates", PathPrefix: "/certificates", Pool: "certificates", Mode: "idempotent"},
		{Name: "filings", PathPrefix: "/filings", Pool: "filings", Mode: "at_most_once", Priority: "high"},
	} {
		r.Timeout = durationpb.New(routeTimeout)
		if _, err := routes.Create(ctx, &operatorpb.RouteRequest{Route: r}); err != nil {
			return fmt.Errorf("creating the route %q: %w", r.GetName(), err)
		}
	}
	return nil
}
