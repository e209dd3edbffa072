// Package directory reads the platform's list of VMs over HTTP. The response to
// a GET is {"vms":[{"id":..,"peer_address":..,"state":"live"}]}.
package directory

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"crocusramp.dev/crocusramp/pkg/storage"
)

const (
	// timeout bounds one read of the list.
	timeout = 2 * time.Second
	// maxListBytes bounds the size of the list. 4,500 VMs take about 400 KB.
	maxListBytes = 8 << 20
)

// errMissingList reports a response without a list. It must not be read as an
// empty list, which would remove every VM.
var errMissingList = errors.New(`response has no "vms"`)

// Directory reads the list of VMs from a URL. It implements storage.Directory.
type Directory struct {
	client *http.Client
	url    string
}

var _ storage.Directory = (*Directory)(nil)

// New returns a Directory that reads the list at url.
func New(url string) *Directory {
	return &Directory{client: &http.Client{Transport: &http.Transport{}}, url: url}
}

// VMs implements storage.Directory.
func (d *Directory) VMs(ctx context.Context) ([]storage.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	vms, err := d.read(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the list of VMs: %w: %w", storage.ErrUnavailable, err)
	}
	return vms, nil
}

// read sends the request and decodes the response.
func (d *Directory) read(ctx context.Context) ([]storage.VM, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, d.url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return decode(io.LimitReader(resp.Body, maxListBytes))
}

// decode decodes a list. An incomplete entry makes the whole list invalid:
// skipping it would look as if the platform had removed the VM.
func decode(r io.Reader) ([]storage.VM, error) {
	var body struct {
		VMs *[]storage.VM `json:"vms"`
	}
	if err := json.NewDecoder(r).Decode(&body); err != nil {
		return nil, err
	}
	if body.VMs == nil {
		return nil, errMissingList
	}
	for _, vm := range *body.VMs {
		if vm.ID == "" || vm.PeerAddress == "" {
			return nil, fmt.Errorf("VM %q with peer address %q lacks an ID or address", vm.ID, vm.PeerAddress)
		}
		if vm.State != storage.VMLive && vm.State != storage.VMLeaving {
			return nil, fmt.Errorf("VM %q has unknown state %q", vm.ID, vm.State)
		}
	}
	return *body.VMs, nil
}
