package entry

import (
	"net/http"
	"sort"

	"github.com/labstack/echo/v5"

	"crocusramp.dev/crocusramp/pkg/claim"
	"crocusramp.dev/crocusramp/pkg/member"
)

const locatePath = "/v1/locate"

// Weights of a locate answer: callers spread over the VMs of the highest
// weight and use the others when those fail.
const (
	weightHome   = 100
	weightNear   = 10
	weightRemote = 1
)

// located is one VM in a locate answer.
type located struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Weight  int    `json:"weight"`
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
	var homes []string
	if header := r.Header.Get("Authorization"); header != "" {
		snapshot := s.config.Config.Snapshot()
		account, refusal := s.config.Authenticate(snapshot, header)
		if refusal != nil && snapshot.Fresh {
			s.refuse(w, r, id, refusal)
			return nil
		}
		if refusal == nil {
			homes = s.config.Homes(account.Name)
			answer.Ticket = s.session.Issue(account.Name)
			answer.TicketTTLMS = claim.TicketTTL.Milliseconds()
		}
	}
	w.Header().Set("Cache-Control", "private, max-age="+retrySeconds(s.config.Limits.LocateTTL))
	answer.VMs = order(s.config.Members.View(), homes)
	return c.JSON(http.StatusOK, answer)
}

// order returns the live VMs: homes first, in the order given, then those of
// this VM's failure domain, then of its region, then the rest.
func order(view *member.View, homes []string) []located {
	home := make(map[string]int, len(homes))
	for i, id := range homes {
		home[id] = i
	}
	type candidate struct {
		peer member.Peer
		rank int
	}
	candidates := make([]candidate, 0, len(view.Peers)+1)
	for _, p := range append([]member.Peer{view.Self}, view.Peers...) {
		if p.State != member.Live || p.CallerAddress == "" {
			continue
		}
		rank, ok := home[p.ID]
		if !ok {
			rank = len(homes) + distance(&view.Self, &p)
		}
		candidates = append(candidates, candidate{p, rank})
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].rank < candidates[j].rank })
	vms := make([]located, 0, len(candidates))
	for _, c := range candidates {
		vms = append(vms, located{c.peer.ID, c.peer.CallerAddress, weight(c.rank, len(homes), &view.Self, &c.peer)})
	}
	return vms
}

func weight(rank, homes int, self, p *member.Peer) int {
	switch {
	case rank < homes:
		return weightHome
	case p.Region == self.Region:
		return weightNear
	default:
		return weightRemote
	}
}

// distance orders VMs by how far they are: 0 is this VM itself.
func distance(self, p *member.Peer) int {
	switch {
	case p.ID == self.ID:
		return 0
	case p.Region != self.Region:
		return 3
	case p.FailureDomain != self.FailureDomain:
		return 2
	default:
		return 1
	}
}
