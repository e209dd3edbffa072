// Package codec encodes and decodes suspect requests for messages between VMs and for storage.
package codec

import (
	"errors"
	"time"

	peerpb "crocusramp.dev/crocusramp/api/peer/v1"
	"crocusramp.dev/crocusramp/pkg/quarantine"
)

const (
	// maxPrefixBytes limits how much of a body a peer can make this VM read to assess a request.
	maxPrefixBytes = 16 << 20
	// maxAge is the largest age of a death; older deaths are forgotten anyway.
	maxAge = 24 * time.Hour
)

// errMalformed reports a malformed suspect.
var errMalformed = errors.New("base and prefix_hash must be SHA-256 hashes, prefix_bytes in range, and deaths have an id and a target")

// Encode returns the message for a case.
func Encode(c quarantine.Case) *peerpb.Suspect {
	out := &peerpb.Suspect{Base: c.BaseHash[:], PrefixBytes: int32(c.PrefixBytes), PrefixHash: c.PrefixHash[:], Trials: int32(c.Trials), Convicted: c.Confirmed}
	for _, d := range c.Deaths {
		out.Deaths = append(out.Deaths, &peerpb.Death{Id: d.ID, Target: d.Target, Prior: int32(d.Prior), AgeUs: d.Age.Microseconds()})
	}
	return out
}

// Decode returns the case in a message. It fails if any part of the message is malformed.
func Decode(s *peerpb.Suspect) (quarantine.Case, error) {
	c := quarantine.Case{Trials: max(int(s.GetTrials()), 0)}
	c.Confirmed = s.GetConvicted()
	c.PrefixBytes = int(s.GetPrefixBytes())
	if copy(c.BaseHash[:], s.GetBase()) != len(c.BaseHash) || copy(c.PrefixHash[:], s.GetPrefixHash()) != len(c.PrefixHash) ||
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
