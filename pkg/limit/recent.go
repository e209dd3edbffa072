package limit

import lru "github.com/hashicorp/golang-lru/v2"

// recentRequests is how many requests of peers are remembered.
const recentRequests = 8192

type requestKey struct {
	borrower string
	id       uint64
}

// recent remembers requests, so that a repeated one is granted nothing. A
// repetition that comes later than it remembers takes a share out of use for
// the length of a loan, and does nothing worse.
type recent struct {
	seen *lru.Cache[requestKey, struct{}]
}

func newRecent() *recent {
	cache, err := lru.New[requestKey, struct{}](recentRequests)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &recent{seen: cache}
}

// add reports whether the request is new.
func (r *recent) add(borrower string, id uint64) bool {
	found, _ := r.seen.ContainsOrAdd(requestKey{borrower, id}, struct{}{})
	return !found
}
