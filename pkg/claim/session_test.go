package claim

import (
	"strings"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
)

func testSession(c *clock.Fake, change func(*SessionConfig)) *Session {
	config := SessionConfig{VM: "vm-1", Incarnation: "i-1", Clock: c}
	if change != nil {
		change(&config)
	}
	return NewSession(config)
}

func begin(t *testing.T, s *Session, account, key string) (Verdict, *Record) {
	t.Helper()
	ticket, ticketed := ParseTicket(key)
	if !ticketed || ticket == nil {
		t.Fatalf("no ticket in %q", key)
	}
	return s.Begin(ID{account, "filing", key}, ticket)
}

func TestSessionRunsOnce(t *testing.T) {
	fake := clock.NewFake(1)
	s := testSession(fake, nil)
	ticket := s.Issue("acme")
	key := ticket + "/1"
	if v, _ := begin(t, s, "acme", key); v != Run {
		t.Fatalf("first: %v", v)
	}
	if v, r := begin(t, s, "acme", key); v != Seen || r.State != Running {
		t.Errorf("while running: %v %+v", v, r)
	}
	s.Finish(ID{"acme", "filing", key}, Done, Answer{Status: 201, Kept: true, Body: []byte("x")})
	if v, r := begin(t, s, "acme", key); v != Seen || r.State != Done || string(r.Answer.Body) != "x" {
		t.Errorf("when done: %v %+v", v, r)
	}
	if v, _ := begin(t, s, "acme", ticket+"/2"); v != Run {
		t.Errorf("another request under the ticket: %v", v)
	}
	s.Finish(ID{"acme", "filing", ticket + "/2"}, Released, Answer{})
	if v, _ := begin(t, s, "acme", ticket+"/2"); v != Run {
		t.Errorf("after a release: %v", v)
	}
	fake.Advance(TicketTTL)
	if v, _ := begin(t, s, "acme", key); v != Expired {
		t.Errorf("after the ticket's end: %v", v)
	}
	if len(s.used) != 0 {
		t.Errorf("%d requests remembered after their tickets' end", len(s.used))
	}
}

func TestSessionRefusesForeignTickets(t *testing.T) {
	fake := clock.NewFake(1)
	s := testSession(fake, nil)
	key := s.Issue("acme") + "/1"
	if v, _ := begin(t, s, "other", key); v != Forged {
		t.Errorf("another account: %v", v)
	}
	if v, _ := begin(t, testSession(fake, nil), "acme", key); v != Forged {
		t.Errorf("another process of the same name: %v", v)
	}
	i := strings.LastIndex(key, ".") + 1
	forged := key[:i] + strings.Repeat("A", 43) + "/1"
	if v, _ := begin(t, s, "acme", forged); v != Forged {
		t.Errorf("altered: %v", v)
	}
}

func TestSessionNeverForgetsWhenFull(t *testing.T) {
	fake := clock.NewFake(1)
	s := testSession(fake, func(c *SessionConfig) { c.MaxUsed, c.MaxAnswers = 2, 1 })
	ticket := s.Issue("acme")
	for _, own := range []string{"/1", "/2"} {
		if v, _ := begin(t, s, "acme", ticket+own); v != Run {
			t.Fatal(v)
		}
		s.Finish(ID{"acme", "filing", ticket + own}, Done, Answer{Status: 200, Kept: true})
	}
	if v, _ := begin(t, s, "acme", ticket+"/3"); v != Full {
		t.Errorf("a third: %v", v)
	}
	if v, r := begin(t, s, "acme", ticket+"/1"); v != Seen || r.Answer.Kept || r.Answer.Status != 200 {
		t.Errorf("the first: %v %+v", v, r)
	}
	fake.Advance(TicketTTL + time.Second)
	if v, _ := begin(t, s, "acme", s.Issue("acme")+"/3"); v != Run {
		t.Errorf("after the tickets' end: %v", v)
	}
}

func FuzzParseTicket(f *testing.F) {
	s := testSession(clock.NewFake(1), nil)
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
			t.Fatal("a ticket without a claim to one")
		}
		if v, _ := s.Begin(ID{"other", "filing", key}, ticket); v != Forged {
			t.Errorf("%q accepted for an account that has no ticket: %v", key, v)
		}
	})
}
