// Package codec translates what VMs tell each other of suspect requests and keep of them.
package codec

import (
	"errors"
	"time"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/quarantine"
)

const (
	// maxPrefixBytes bounds how much of a body a peer can make this VM read to judge it.
	maxPrefixBytes = 16 << 20
	// maxAge bounds the age of a death: later ones are forgotten anyway.
	maxAge = 24 * time.Hour
)

// errMalformed reports a suspect that can't be read.
var errMalformed = errors.New("base and prefix_hash must be SHA-256 hashes, prefix_bytes in range, and deaths have an id and a target")

// Encode returns what is told or kept of a case.
func Encode(c quarantine.Case) *peerpb.Suspect {
	out := &peerpb.Suspect{Base: c.Base[:], PrefixBytes: int32(c.PrefixBytes), PrefixHash: c.PrefixHash[:], Trials: int32(c.Trials), Convicted: c.Convicted}
	for _, d := range c.Deaths {
		out.Deaths = append(out.Deaths, &peerpb.Death{Id: d.ID, Target: d.Target, Prior: int32(d.Prior), AgeUs: d.Age.Microseconds()})
	}
	return out
}

// Decode reads what was told or kept. It fails where any of it is malformed.
func Decode(s *peerpb.Suspect) (quarantine.Case, error) {
	c := quarantine.Case{Trials: max(int(s.GetTrials()), 0)}
	c.Convicted = s.GetConvicted()
	c.PrefixBytes = int(s.GetPrefixBytes())
	if copy(c.Base[:], s.GetBase()) != len(c.Base) || copy(c.PrefixHash[:], s.GetPrefixHash()) != len(c.PrefixHash) ||
		c.PrefixBytes < 0 || c.PrefixBytes > maxPrefixBytes {
		return c, errMalformed
	}
	for _, d := range s.GetDeaths() {
		if d.GetId() == "" || d.GetTarget() == "" {
			return c, errMalformed
		}
		age := min(max(time.Duration(d.GetAgeUs())*time.Microsecond, 0), maxAge)
		c.Deaths = append(c.Deaths, quarantine.Death{ID: d.GetId(), Target: d.GetTarget(), Prior: max(int(d.GetPrior()), 0), Age: age})
	}
	return c, nil
}
