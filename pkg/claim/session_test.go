package claim

import (
	"strings"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
)

func newTestTicketStore(c *clock.Fake, change func(*TicketStoreConfig)) *TicketStore {
	config := TicketStoreConfig{VM: "vm-1", Incarnation: "i-1", Clock: c}
	if change != nil {
		change(&config)
	}
	return NewTicketStore(config)
}

func begin(t *testing.T, s *TicketStore, account, key string) (Decision, *Record) {
	t.Helper()
	ticket, ticketed := ParseTicket(key)
	if !ticketed || ticket == nil {
		t.Fatalf("no ticket in %q", key)
	}
	return s.Begin(ID{account, "filing", key}, ticket)
}

func TestTicketedRequestRunsOnce(t *testing.T) {
	fake := clock.NewFake(1)
	s := newTestTicketStore(fake, nil)
	ticket := s.Issue("acme")
	key := ticket + "/1"
	if v, _ := begin(t, s, "acme", key); v != Run {
		t.Fatalf("first attempt: %v, want Run", v)
	}
	if v, r := begin(t, s, "acme", key); v != Duplicate || r.State != Running {
		t.Errorf("retry of a running request: %v %+v, want a record in state Running", v, r)
	}
	s.Finish(ID{"acme", "filing", key}, Done, Response{Status: 201, Stored: true, Body: []byte("x")})
	if v, r := begin(t, s, "acme", key); v != Duplicate || r.State != Done || string(r.Response.Body) != "x" {
		t.Errorf("retry of a completed request: %v %+v, want a record with the response", v, r)
	}
	if v, _ := begin(t, s, "acme", ticket+"/2"); v != Run {
		t.Errorf("another request with the same ticket: %v, want Run", v)
	}
	s.Finish(ID{"acme", "filing", ticket + "/2"}, Released, Response{})
	if v, _ := begin(t, s, "acme", ticket+"/2"); v != Run {
		t.Errorf("retry after a release: %v, want Run", v)
	}
	fake.Advance(TicketTTL)
	if v, _ := begin(t, s, "acme", key); v != Expired {
		t.Errorf("after the ticket expired: %v, want Expired", v)
	}
	if len(s.requests) != 0 {
		t.Errorf("%d requests are still recorded after their tickets expired", len(s.requests))
	}
}

func TestTicketStoreRefusesForeignTickets(t *testing.T) {
	fake := clock.NewFake(1)
	s := newTestTicketStore(fake, nil)
	key := s.Issue("acme") + "/1"
	if v, _ := begin(t, s, "other", key); v != Forged {
		t.Errorf("ticket of another account: %v, want Forged", v)
	}
	if v, _ := begin(t, newTestTicketStore(fake, nil), "acme", key); v != Forged {
		t.Errorf("ticket of another process with the same VM and incarnation: %v, want Forged", v)
	}
	i := strings.LastIndex(key, ".") + 1
	forged := key[:i] + strings.Repeat("A", 43) + "/1"
	if v, _ := begin(t, s, "acme", forged); v != Forged {
		t.Errorf("altered signature: %v, want Forged", v)
	}
}

func TestTicketStoreRefusesWhenFull(t *testing.T) {
	fake := clock.NewFake(1)
	s := newTestTicketStore(fake, func(c *TicketStoreConfig) { c.MaxRequests, c.MaxResponses = 2, 1 })
	ticket := s.Issue("acme")
	for _, suffix := range []string{"/1", "/2"} {
		if v, _ := begin(t, s, "acme", ticket+suffix); v != Run {
			t.Fatal(v)
		}
		s.Finish(ID{"acme", "filing", ticket + suffix}, Done, Response{Status: 200, Stored: true})
	}
	if v, _ := begin(t, s, "acme", ticket+"/3"); v != Full {
		t.Errorf("third request: %v, want Full", v)
	}
	if v, r := begin(t, s, "acme", ticket+"/1"); v != Duplicate || r.Response.Stored || r.Response.Status != 200 {
		t.Errorf("retry of the first request: %v %+v, want a record with only the status", v, r)
	}
	fake.Advance(TicketTTL + time.Second)
	if v, _ := begin(t, s, "acme", s.Issue("acme")+"/3"); v != Run {
		t.Errorf("new request after the tickets expired: %v, want Run", v)
	}
}

func FuzzParseTicket(f *testing.F) {
	s := newTestTicketStore(clock.NewFake(1), nil)
	f.Add(s.Issue("acme") + "/1")
	f.Add("t1.")
	f.Add("t1.e30.AA/x")
	f.Add("plain")
	f.Fuzz(func(t *testing.T, key string) {
		ticket, ticketed := ParseTicket(key)
		if ticket == nil {
			return
		}
		if !ticketed {
			t.Fatal("ParseTicket returned a ticket but ticketed is false")
		}
		if v, _ := s.Begin(ID{"other", "filing", key}, ticket); v != Forged {
			t.Errorf("%q: %v, want Forged for an account that has no ticket", key, v)
		}
	})
}
