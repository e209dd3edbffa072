package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
)

type keyCommands struct {
	Grant    *keyGrant    `arg:"subcommand:grant" help:"grant a new key to a client account"`
	Withdraw *keyWithdraw `arg:"subcommand:withdraw" help:"withdraw a key"`
	List     *keyList     `arg:"subcommand:list" help:"list keys"`
}

type keyGrant struct {
	Account string `arg:"positional,required"`
	expectOption
}

func (k *keyGrant) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.keys.Grant(ctx, &operatorpb.GrantKeyRequest{Account: k.Account, ExpectedVersion: k.ExpectedVersion})
	if err != nil {
		return nil, err
	}
	return &result{message: resp, text: func(w io.Writer) {
		fmt.Fprintf(w, "id   %s\nkey  %s\n", resp.Id, resp.Key)
		fmt.Fprintf(w, "The key is shown only this once. Granted to %q, version %d.\n", resp.Account, resp.Version)
	}}, nil
}

type keyWithdraw struct {
	ID string `arg:"positional,required"`
	expectOption
}

func (k *keyWithdraw) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.keys.Withdraw(ctx, &operatorpb.WithdrawKeyRequest{Id: k.ID, ExpectedVersion: k.ExpectedVersion})
	if err != nil {
		return nil, err
	}
	return lineResult(resp, "key %s withdrawn, version %d", k.ID, resp.Version), nil
}

type keyList struct {
	Account string `arg:"positional" help:"list the keys of this client account only"`
}

func (k *keyList) run(ctx context.Context, c *client) (*result, error) {
	resp, err := c.keys.List(ctx, &operatorpb.ListKeysRequest{Account: k.Account})
	if err != nil {
		return nil, err
	}
	return tableResult(resp, keyTable(resp.Keys)), nil
}

func keyTable(keys []*operatorpb.Key) *textTable {
	g := newTextTable("id", "account", "created")
	for _, k := range keys {
		g.addRow(k.Id, k.Account, k.Created.AsTime().Format(time.RFC3339))
	}
	return g
}
