package limit

import lru "github.com/hashicorp/golang-lru/v2"

// recentRequests is the number of peer requests that are remembered.
const recentRequests = 8192

type requestKey struct {
	borrower string
	id       uint64
}

// requestDedup remembers requests of peers, so that a duplicate is granted nothing. A duplicate
// that arrives after its entry was evicted can only take a share out of use for the length of one
// loan.
type requestDedup struct {
	seen *lru.Cache[requestKey, struct{}]
}

func newRequestDedup() *requestDedup {
	cache, err := lru.New[requestKey, struct{}](recentRequests)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &requestDedup{seen: cache}
}

// add records the request and reports whether it is new.
func (r *requestDedup) add(borrower string, id uint64) bool {
	found, _ := r.seen.ContainsOrAdd(requestKey{borrower, id}, struct{}{})
	return !found
}
