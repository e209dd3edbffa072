package claim

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"crocusramp.dev/crocusramp/pkg/clock"
)

const (
	ticketPrefix = "t1."
	// ticketSeparator ends the ticket within a key; the caller's own part
	// follows it.
	ticketSeparator = "/"
	secretBytes     = 32
)

// Ticket names the only process that runs the requests whose keys begin with
// it.
type Ticket struct {
	VM          string `json:"v"`
	Incarnation string `json:"i"`
	// Account is the hash of the client account that the ticket is for.
	Account []byte `json:"a"`
	// Expires is on the issuer's clock.
	Expires clock.Time `json:"e"`

	signed    string
	signature []byte
}

// ParseTicket finds the ticket in an idempotency key. Ticketed reports whether
// the key claims to have one; it is malformed where the ticket is nil then.
// Only the issuer can tell whether a ticket is genuine.
func ParseTicket(key string) (t *Ticket, ticketed bool) {
	rest, ok := strings.CutPrefix(key, ticketPrefix)
	if !ok {
		return nil, false
	}
	text, own, ok := strings.Cut(rest, ticketSeparator)
	payload, mac, signed := strings.Cut(text, ".")
	if !ok || !signed || own == "" {
		return nil, true
	}
	b, err := base64.RawURLEncoding.DecodeString(payload)
	if err != nil {
		return nil, true
	}
	t = &Ticket{signed: payload}
	if err := json.Unmarshal(b, t); err != nil {
		return nil, true
	}
	if t.signature, err = base64.RawURLEncoding.DecodeString(mac); err != nil {
		return nil, true
	}
	return t, true
}

// issuer makes and checks the tickets of one process. Its secret never leaves
// the process, so that no other one can be taken for it.
type issuer struct {
	vm          string
	incarnation string
	secret      [secretBytes]byte
}

func newIssuer(vm, incarnation string) *issuer {
	i := &issuer{vm: vm, incarnation: incarnation}
	if _, err := rand.Read(i.secret[:]); err != nil {
		panic(err) // crypto/rand never fails on the supported systems
	}
	return i
}

func (i *issuer) issue(account string, expires clock.Time) string {
	b, err := json.Marshal(Ticket{VM: i.vm, Incarnation: i.incarnation, Account: hashAccount(account), Expires: expires})
	if err != nil {
		panic(err) // strings, integers and bytes always have a JSON form
	}
	payload := base64.RawURLEncoding.EncodeToString(b)
	return ticketPrefix + payload + "." + base64.RawURLEncoding.EncodeToString(i.sign(payload))
}

// genuine reports whether this process issued the ticket for the account.
func (i *issuer) genuine(t *Ticket, account string) bool {
	return t.VM == i.vm && t.Incarnation == i.incarnation &&
		hmac.Equal(t.Account, hashAccount(account)) && hmac.Equal(t.signature, i.sign(t.signed))
}

func (i *issuer) sign(payload string) []byte {
	m := hmac.New(sha256.New, i.secret[:])
	m.Write([]byte(payload))
	return m.Sum(nil)
}

func hashAccount(account string) []byte {
	h := sha256.Sum256([]byte(account))
	return h[:16]
}

// TicketTTL is how long a ticket may be used, and how long the requests that
// ran under it are remembered.
const TicketTTL = 10 * time.Minute
