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

// minSpreadRatePerVM is the rate limit, in requests per second and VM of the fleet, from
// which the callers of a client account are spread over all VMs in proportion to the
// VMs' permits. The callers of an account with a smaller rate are directed to its home
// VMs, because a VM's share would hold too few tokens to serve a burst.
const minSpreadRatePerVM = 10

// locatedVM is one VM in a response to /v1/locate.
type locatedVM struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// Tier is 0 for the VMs of the nearest region. Callers use a higher tier only if
	// they can reach no VM of a lower one.
	Tier int `json:"tier"`
	// Weight is proportional to the VM's part of the requests to its tier.
	Weight int `json:"weight"`
}

// locateResponse lists the VMs that the caller should use, in order of preference.
type locateResponse struct {
	VMs   []locatedVM `json:"vms"`
	TTLMS int64       `json:"ttl_ms"`
	// Ticket is the prefix of idempotency keys for requests that this VM runs without
	// the table. A key consists of the ticket, "/" and a string that the caller
	// chooses. A ticket can be used for many requests. It is set for callers that
	// send a valid client account key.
	Ticket      string `json:"ticket,omitempty"`
	TicketTTLMS int64  `json:"ticket_ttl_ms,omitempty"`
	// TicketVM is the ID of the VM that issued the ticket and runs its requests. Other
	// VMs hand them over to it.
	TicketVM string `json:"ticket_vm,omitempty"`
}

func (s *Server) locate(c *echo.Context) error {
	r, w := c.Request(), c.Response()
	id := newRequestID()
	if s.inFlight.isClosing() {
		s.refuse(w, r, id, stoppingRefusal())
		return nil
	}
	if !s.ready.Load() {
		s.refuse(w, r, id, notReadyRefusal())
		return nil
	}
	response := locateResponse{TTLMS: s.config.Limits.LocateTTL.Milliseconds()}
	nearRegion := s.nearestRegion(r)
	var homes []string
	if header := r.Header.Get("Authorization"); header != "" {
		snapshot := s.config.Config.Snapshot()
		account, refusal := s.config.Authenticate(snapshot, header)
		if refusal != nil && snapshot.Fresh {
			s.refuse(w, r, id, refusal)
			return nil
		}
		if refusal == nil {
			homes = s.homesOf(account)
			response.Ticket = s.session.Issue(account.Name)
			response.TicketTTLMS = claim.TicketTTL.Milliseconds()
			response.TicketVM = s.config.Members.View().Self.ID
		}
	}
	w.Header().Set("Cache-Control", "private, max-age="+retrySeconds(s.config.Limits.LocateTTL))
	response.VMs = orderVMs(s.config.Members.View(), nearRegion, homes, rand.Float64)
	return c.JSON(http.StatusOK, response)
}

// nearestRegion returns the region of the caller's address block. If there is none, it
// returns this VM's own region, because callers ask a VM near them first.
func (s *Server) nearestRegion(r *http.Request) string {
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

// homesOf returns the home VMs of an account, or nil if its rate is large enough to
// spread its callers over all VMs.
func (s *Server) homesOf(a *config.Account) []string {
	if a.Rate >= minSpreadRatePerVM*float64(len(s.config.Members.View().Peers)+1) {
		return nil
	}
	return s.config.Homes(a.Name)
}

// candidate is a VM with its sort keys.
type candidate struct {
	locatedVM
	// homeRank is the VM's index in the list of homes, or the list's length.
	homeRank int
	// randomRank is random; on average, it is smaller for a larger weight.
	randomRank float64
}

// orderVMs returns the live VMs by tier: those of the nearest region, then the others.
// Within a tier, homes come first, in the given order. Without homes, the order is
// random and weighted by permits, so that callers that use the first VM are spread over
// all VMs.
func orderVMs(view *member.View, nearRegion string, homes []string, random func() float64) []locatedVM {
	var candidates []candidate
	for _, p := range append([]member.Peer{view.Self}, view.Peers...) {
		if p.State != member.Live || p.CallerAddress == "" {
			continue
		}
		c := candidate{locatedVM: locatedVM{ID: p.ID, Address: p.CallerAddress, Weight: 1}}
		if p.Region != nearRegion {
			c.Tier = 1
		}
		if i := slices.Index(homes, p.ID); i >= 0 {
			c.homeRank = i
		} else {
			c.homeRank = len(homes)
			c.Weight = totalPermits(&p)
		}
		// Of several exponential random variables, the probability that a given one is
		// the smallest is proportional to its rate, here the weight.
		c.randomRank = randomExponential(random) / float64(c.Weight)
		candidates = append(candidates, c)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.homeRank, b.homeRank), cmp.Compare(a.randomRank, b.randomRank))
	})
	return finalWeights(candidates, len(homes) > 0)
}

// finalWeights returns the VMs of the candidates. If concentrate is set, the first VM of
// each tier gets homeWeight and thus nearly all requests to the tier.
func finalWeights(candidates []candidate, concentrate bool) []locatedVM {
	vms := make([]locatedVM, 0, len(candidates))
	for i, c := range candidates {
		if concentrate && (i == 0 || candidates[i-1].Tier != c.Tier) {
			c.Weight = homeWeight
		}
		vms = append(vms, c.locatedVM)
	}
	return vms
}

// homeWeight is the weight of the first VM of a tier for an account with homes. The other
// homes have weight 1.
const homeWeight = 100

func randomExponential(random func() float64) float64 { return -math.Log(1 - random()) }

// totalPermits returns how many requests a VM may run at once over all pools, at least
// 1.
func totalPermits(p *member.Peer) int {
	n := 0
	for _, l := range p.Pools {
		n += l.Permits
	}
	return max(n, 1)
}
