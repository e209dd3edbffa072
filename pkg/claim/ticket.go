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
	// ticketSeparator separates the ticket from the caller's own part of the key.
	ticketSeparator = "/"
	secretBytes     = 32
)

// Ticket names the only process that may run the requests whose keys begin with it.
type Ticket struct {
	VM          string `json:"v"`
	Incarnation string `json:"i"`
	// Account is the hash of the client account that the ticket is for.
	Account []byte `json:"a"`
	// Expires is a time of the issuer's clock.
	Expires clock.Time `json:"e"`

	payload   string
	signature []byte
}

// ParseTicket parses the ticket in an idempotency key. ticketed reports whether the key starts with
// the ticket prefix; if t is nil then, the ticket is malformed. Only the issuer can verify the
// signature.
func ParseTicket(key string) (t *Ticket, ticketed bool) {
	rest, ok := strings.CutPrefix(key, ticketPrefix)
	if !ok {
		return nil, false
	}
	text, suffix, ok := strings.Cut(rest, ticketSeparator)
	payload, mac, hasSignature := strings.Cut(text, ".")
	if !ok || !hasSignature || suffix == "" {
		return nil, true
	}
	b, err := base64.RawURLEncoding.DecodeString(payload)
	if err != nil {
		return nil, true
	}
	t = &Ticket{payload: payload}
	if err := json.Unmarshal(b, t); err != nil {
		return nil, true
	}
	if t.signature, err = base64.RawURLEncoding.DecodeString(mac); err != nil {
		return nil, true
	}
	return t, true
}

// issuer issues and verifies the tickets of one process. Its secret never leaves the process, so no
// other process can issue tickets in its name.
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
		panic(err) // strings, integers and bytes can always be encoded as JSON
	}
	payload := base64.RawURLEncoding.EncodeToString(b)
	return ticketPrefix + payload + "." + base64.RawURLEncoding.EncodeToString(i.sign(payload))
}

// verify reports whether this process issued the ticket for the account.
func (i *issuer) verify(t *Ticket, account string) bool {
	return t.VM == i.vm && t.Incarnation == i.incarnation &&
		hmac.Equal(t.Account, hashAccount(account)) && hmac.Equal(t.signature, i.sign(t.payload))
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

// TicketTTL is how long a ticket is valid. The requests that ran with it stay recorded until it
// expires.
const TicketTTL = 10 * time.Minute
