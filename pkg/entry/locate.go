package entry

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"

	"github.com/labstack/echo/v5"

	"crocusramp.dev/crocusramp/pkg/claim"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/member"
)

const locatePath = "/v1/locate"

// concentrateBelow is the rate, in requests a second for each VM of the fleet,
// below which a client account's callers are sent to its home VMs. Smaller
// shares than that hold too few tokens to serve a burst where it arrives; a
// larger account is spread over the VMs by their permits instead.
const concentrateBelow = 10

// located is one VM in a locate answer.
type located struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// Tier is 0 for the VMs of the nearest region. Callers use a higher tier
	// only where no VM of a lower one can be reached.
	Tier int `json:"tier"`
	// Weight is the VM's part of the requests that go to its tier.
	Weight int `json:"weight"`
}

// locateAnswer names the VMs to use, in order.
type locateAnswer struct {
	VMs   []located `json:"vms"`
	TTLMS int64     `json:"ttl_ms"`
	// Ticket begins the idempotency keys of requests that this VM is to run
	// without the table: "TICKET/" and a part of the caller's own. It serves
	// many requests. Set for callers that show a key.
	Ticket      string `json:"ticket,omitempty"`
	TicketTTLMS int64  `json:"ticket_ttl_ms,omitempty"`
	// TicketVM is the ID of the VM that issued the ticket and runs its
	// requests; others pass them to it.
	TicketVM string `json:"ticket_vm,omitempty"`
}

func (s *Server) locate(c *echo.Context) error {
	r, w := c.Request(), c.Response()
	id := newRequestID()
	if s.running.closed() {
		s.refuse(w, r, id, stopping())
		return nil
	}
	if !s.ready.Load() {
		s.refuse(w, r, id, notReady())
		return nil
	}
	answer := locateAnswer{TTLMS: s.config.Limits.LocateTTL.Milliseconds()}
	near := s.nearest(r)
	var homes []string
	if header := r.Header.Get("Authorization"); header != "" {
		snapshot := s.config.Config.Snapshot()
		account, refusal := s.config.Authenticate(snapshot, header)
		if refusal != nil && snapshot.Fresh {
			s.refuse(w, r, id, refusal)
			return nil
		}
		if refusal == nil {
			homes = s.homes(account)
			answer.Ticket = s.session.Issue(account.Name)
			answer.TicketTTLMS = claim.TicketTTL.Milliseconds()
			answer.TicketVM = s.config.Members.View().Self.ID
		}
	}
	w.Header().Set("Cache-Control", "private, max-age="+retrySeconds(s.config.Limits.LocateTTL))
	answer.VMs = order(s.config.Members.View(), near, homes, rand.Float64)
	return c.JSON(http.StatusOK, answer)
}

// nearest returns the region of the caller's block, or else this VM's own: a
// caller asks a VM near it first.
func (s *Server) nearest(r *http.Request) string {
	self := s.config.Members.View().Self.Region
	if s.config.RegionOf == nil {
		return self
	}
	address, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return self
	}
	if region, ok := s.config.RegionOf(address.Addr()); ok {
		return region
	}
	return self
}

// homes returns the home VMs of an account that is too small to be spread.
func (s *Server) homes(a *config.Account) []string {
	if a.Rate >= concentrateBelow*float64(len(s.config.Members.View().Peers)+1) {
		return nil
	}
	return s.config.Homes(a.Name)
}

// candidate is a VM with what it is ordered by.
type candidate struct {
	located
	home int
	// draw is smaller for a VM of more weight, by chance.
	draw float64
}

// order returns the live VMs by tier: those of the region near, then the rest.
// Inside a tier homes come first, in the order given. Without homes the order
// is drawn by weight, so that callers who take the first VM spread over all.
func order(view *member.View, near string, homes []string, random func() float64) []located {
	var candidates []candidate
	for _, p := range append([]member.Peer{view.Self}, view.Peers...) {
		if p.State != member.Live || p.CallerAddress == "" {
			continue
		}
		c := candidate{located: located{ID: p.ID, Address: p.CallerAddress, Weight: 1}}
		if p.Region != near {
			c.Tier = 1
		}
		if i := slices.Index(homes, p.ID); i >= 0 {
			c.home = i
		} else {
			c.home = len(homes)
			c.Weight = permits(&p)
		}
		// The smallest of exponential variables with rates w falls on each
		// with a probability in proportion to w.
		c.draw = rand64(random) / float64(c.Weight)
		candidates = append(candidates, c)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.home, b.home), cmp.Compare(a.draw, b.draw))
	})
	return weighted(candidates, len(homes) > 0)
}

// weighted returns the VMs and, for an account with homes, gives nearly all
// weight of a tier to its first VM.
func weighted(candidates []candidate, concentrate bool) []located {
	vms := make([]located, 0, len(candidates))
	for i, c := range candidates {
		if concentrate && (i == 0 || candidates[i-1].Tier != c.Tier) {
			c.Weight = homeWeight
		}
		vms = append(vms, c.located)
	}
	return vms
}

// homeWeight is the weight of an account's home against 1 for the others.
const homeWeight = 100

func rand64(random func() float64) float64 { return -math.Log(1 - random()) }

// permits returns how many requests a VM may run at once, at least 1.
func permits(p *member.Peer) int {
	n := 0
	for _, l := range p.Pools {
		n += l.Permits
	}
	return max(n, 1)
}
