package entry

import (
	"errors"
	"sync"

	"crocusramp.dev/crocusramp/pkg/config"
)

// errKeyWithdrawn reports that the caller's key was withdrawn during a transfer.
var errKeyWithdrawn = errors.New("client account key was withdrawn")

// keyWatch aborts the transfers of a caller whose key is withdrawn: incomplete uploads
// and streamed responses. A request that was received completely continues to run, and
// a small response to it is delivered.
type keyWatch struct {
	source       config.Source
	authenticate func(config.Snapshot) bool

	mu      sync.Mutex
	version int64
	valid   bool
}

func (s *Server) newKeyWatch(c *call, version int64) *keyWatch {
	header := c.r.Header.Get("Authorization")
	return &keyWatch{
		source:  s.config.Config,
		version: version,
		valid:   true,
		authenticate: func(snapshot config.Snapshot) bool {
			account, refusal := s.config.Authenticate(snapshot, header)
			return refusal == nil && account.Name == c.account.Name
		},
	}
}

// check returns errKeyWithdrawn if the key was withdrawn. It authenticates again when the
// configuration has changed. It accepts a stale configuration, because staleness must
// only block new requests.
func (k *keyWatch) check() error {
	snapshot := k.source.Snapshot()
	k.mu.Lock()
	defer k.mu.Unlock()
	if snapshot.Version != k.version {
		k.version = snapshot.Version
		snapshot.Fresh = true
		k.valid = k.valid && k.authenticate(snapshot)
	}
	if !k.valid {
		return errKeyWithdrawn
	}
	return nil
}
