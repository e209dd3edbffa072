package directory

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"crocusramp.dev/crocusramp/pkg/storage"
)

// TestMalformedListIsAnError guards against malformed responses that are read
// as a list from which VMs were removed.
func TestMalformedListIsAnError(t *testing.T) {
	bodies := []string{
		``, `{}`, `{"vms":null}`, `[]`, `{"vms":[`, `{"vms":[{}]}`,
		`{"vms":[{"id":"a","state":"live"}]}`,
		`{"vms":[{"id":"a","peer_address":"127.0.0.1:1","state":"gone"}]}`,
	}
	for _, body := range bodies {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, body)
		}))
		if vms, err := New(server.URL).VMs(context.Background()); !errors.Is(err, storage.ErrUnavailable) {
			t.Errorf("body %q: %v, %v", body, vms, err)
		}
		server.Close()
	}
}

func TestErrorStatus(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	if _, err := New(server.URL).VMs(context.Background()); !errors.Is(err, storage.ErrUnavailable) {
		t.Error(err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(`{"vms":[{"id":"a","peer_address":"127.0.0.1:1","state":"live"}]}`)
	f.Add(`{"vms":[]}`)
	f.Add(`{"vms":{}}`)
	f.Fuzz(func(t *testing.T, body string) {
		vms, err := decode(strings.NewReader(body))
		if err == nil && vms == nil {
			t.Error("got neither a list nor an error")
		}
	})
}
