package dynamo

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/platform"
	"crocusramp.dev/crocusramp/pkg/standin/fault"
	"crocusramp.dev/crocusramp/pkg/standin/table"
)

func newTable(endpoint string) *Table {
	return New(Config{Endpoint: endpoint, Region: "r", Table: "t", AccessKey: "a", SecretKey: "s", Timeout: 250 * time.Millisecond})
}

var testKey = platform.Key{Partition: "p", Sort: "s"}

func create(t *Table) error {
	return t.Transact(context.Background(), []platform.Write{{Key: testKey, Value: []byte("v")}})
}

// TestWriteErrors maps each failure of the service to the platform's errors.
// took tells whether the write is in the table once the fault is gone.
func TestWriteErrors(t *testing.T) {
	cases := map[string]struct {
		faults fault.Faults
		want   error
		took   bool
	}{
		"healthy":              {fault.Faults{}, nil, true},
		"503":                  {fault.Faults{Down: fault.DownRefuse}, platform.ErrIndeterminate, false},
		"connection closed":    {fault.Faults{Down: fault.DownClose}, platform.ErrIndeterminate, false},
		"throttled":            {fault.Faults{Throttle: true}, platform.ErrUnavailable, false},
		"answer lost":          {fault.Faults{LoseAnswers: 1}, nil, true},
		"both answers lost":    {fault.Faults{LoseAnswers: 2}, platform.ErrIndeterminate, true},
		"slow past the bound":  {fault.Faults{Delay: fault.Duration(400 * time.Millisecond)}, platform.ErrIndeterminate, true},
		"slow below the bound": {fault.Faults{Delay: fault.Duration(10 * time.Millisecond)}, nil, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			stand := table.New()
			server := httptest.NewServer(stand.Handler())
			defer server.Close()
			stand.Faults().Set(c.faults)
			if err := create(newTable(server.URL)); !errors.Is(err, c.want) {
				t.Errorf("transact: %v, want %v", err, c.want)
			}
			stand.Faults().Set(fault.Faults{})
			server.Close() // waits for the write that its client gave up
			healthy := httptest.NewServer(stand.Handler())
			defer healthy.Close()
			_, err := newTable(healthy.URL).Get(context.Background(), testKey)
			if took := err == nil; took != c.took {
				t.Errorf("write took effect: %v (%v), want %v", took, err, c.took)
			}
		})
	}
}

func TestConflictOfTransactionsNamesNoWrite(t *testing.T) {
	stand := table.New()
	server := httptest.NewServer(stand.Handler())
	defer server.Close()
	stand.Faults().Set(fault.Faults{Conflicts: 1})
	var conflict *platform.ConflictError
	if err := create(newTable(server.URL)); !errors.As(err, &conflict) || len(conflict.Failed) != 0 {
		t.Errorf("transact: %v, want a conflict without failed writes", err)
	}
}

// TestNothingListening proves that a refused connection is no lost answer.
func TestNothingListening(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	tab := newTable("http://" + l.Addr().String())
	if err := create(tab); !errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrIndeterminate) {
		t.Errorf("transact: %v", err)
	}
	if _, err := tab.Get(context.Background(), testKey); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("get: %v", err)
	}
	if _, err := tab.List(context.Background(), "p", "", 10); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("list: %v", err)
	}
}

// TestWritesAreSentOnce proves that the SDK repeats no write by itself.
func TestWritesAreSentOnce(t *testing.T) {
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sent++
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer server.Close()
	if err := create(newTable(server.URL)); !errors.Is(err, platform.ErrIndeterminate) {
		t.Errorf("transact: %v", err)
	}
	if sent != 1 {
		t.Errorf("sent %d times", sent)
	}
}

// TestResendSettlesOnlySuccess loses the first answer and refuses what is sent
// again: a conflict then says nothing about the first sending.
func TestResendSettlesOnlySuccess(t *testing.T) {
	stand := table.New()
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent++
		if sent == 1 {
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		stand.Faults().Set(fault.Faults{Conflicts: 1})
		stand.Handler().ServeHTTP(w, r)
	}))
	defer server.Close()
	err := create(newTable(server.URL))
	var conflict *platform.ConflictError
	if !errors.Is(err, platform.ErrIndeterminate) || errors.As(err, &conflict) || sent != 2 {
		t.Errorf("transact: %v after %d sendings", err, sent)
	}
}

// TestLateWrite shows that reading back does not settle a write that was given
// up: it may take effect afterwards. Only moving the revision on does.
func TestLateWrite(t *testing.T) {
	stand := table.New()
	server := httptest.NewServer(stand.Handler())
	stand.Faults().Set(fault.Faults{Delay: fault.Duration(400 * time.Millisecond)})
	tab := newTable(server.URL)
	if err := create(tab); !errors.Is(err, platform.ErrIndeterminate) {
		t.Fatalf("transact: %v", err)
	}
	stand.Faults().Set(fault.Faults{})
	if err := tab.Transact(context.Background(), []platform.Write{{Key: testKey, Value: []byte("mine")}}); err != nil {
		t.Fatalf("a write that moves the revision on: %v", err)
	}
	server.Close() // waits for the late write
	healthy := httptest.NewServer(stand.Handler())
	defer healthy.Close()
	item, err := newTable(healthy.URL).Get(context.Background(), testKey)
	if err != nil || string(item.Value) != "mine" {
		t.Errorf("item %q: %v", item.Value, err)
	}
}

// TestAsksNoEnvironment sets what the SDK reads where it loads its own
// configuration. Another endpoint would fail the call.
func TestAsksNoEnvironment(t *testing.T) {
	stand := table.New()
	server := httptest.NewServer(stand.Handler())
	defer server.Close()
	for _, name := range []string{"AWS_ENDPOINT_URL", "AWS_ENDPOINT_URL_DYNAMODB"} {
		t.Setenv(name, "http://127.0.0.1:1")
	}
	t.Setenv("AWS_ENABLE_ENDPOINT_DISCOVERY", "true")
	if err := create(newTable(server.URL)); err != nil {
		t.Error(err)
	}
}
