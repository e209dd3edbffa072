package objects

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/platform"
	"crocusramp.dev/crocusramp/pkg/standin/fault"
	"crocusramp.dev/crocusramp/pkg/standin/objects"
)

func newStore(endpoint string) *Store {
	return New(Config{Endpoint: endpoint, Region: "r", Bucket: "b", AccessKey: "a", SecretKey: "s", Timeout: 250 * time.Millisecond})
}

func TestPutErrors(t *testing.T) {
	cases := map[string]struct {
		faults fault.Faults
		want   error
	}{
		"healthy":             {fault.Faults{}, nil},
		"503":                 {fault.Faults{Down: fault.DownRefuse}, platform.ErrIndeterminate},
		"connection closed":   {fault.Faults{Down: fault.DownClose}, platform.ErrIndeterminate},
		"throttled":           {fault.Faults{Throttle: true}, platform.ErrUnavailable},
		"answer lost":         {fault.Faults{LoseAnswers: 1}, platform.ErrIndeterminate},
		"slow past the bound": {fault.Faults{Delay: fault.Duration(400 * time.Millisecond)}, platform.ErrIndeterminate},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			stand := objects.New()
			server := httptest.NewServer(stand.Handler())
			defer server.Close()
			stand.Faults().Set(c.faults)
			if err := newStore(server.URL).Put(context.Background(), "o", []byte("v")); !errors.Is(err, c.want) {
				t.Errorf("put: %v, want %v", err, c.want)
			}
		})
	}
}

func TestGetErrors(t *testing.T) {
	stand := objects.New()
	server := httptest.NewServer(stand.Handler())
	defer server.Close()
	for _, f := range []fault.Faults{{Down: fault.DownRefuse}, {Down: fault.DownClose}, {Throttle: true}} {
		stand.Faults().Set(f)
		if _, err := newStore(server.URL).Get(context.Background(), "o"); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("get with %+v: %v", f, err)
		}
	}
	server.Close()
	store := newStore(server.URL)
	if _, err := store.Get(context.Background(), "o"); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("get, nothing listening: %v", err)
	}
	if err := store.Put(context.Background(), "o", nil); !errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrIndeterminate) {
		t.Errorf("put, nothing listening: %v", err)
	}
}
