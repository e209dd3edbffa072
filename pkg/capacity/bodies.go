package capacity

import (
	"errors"
	"io"
	"net/http"
)

// errNoMemory ends the reading of a body for which there is no memory.
var errNoMemory = errors.New("no memory for the request's body")

// bodyCost is the memory of a body that is read whole into a growing buffer, per byte.
const bodyCost = 2

// LimitBodies returns a handler that bounds the bodies of the requests to next, which reads them whole: each to max
// bytes, and all together to the memory for requests. p may be nil: only max holds then.
func (p *Plan) LimitBodies(next http.Handler, max int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		b := &limitedBody{ReadCloser: http.MaxBytesReader(w, r.Body, max), use: p.NewUse()}
		defer b.use.Release()
		limited := *r
		limited.Body = b
		next.ServeHTTP(w, &limited)
	})
}

// limitedBody takes the memory of what was read.
type limitedBody struct {
	io.ReadCloser
	use *Use
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n == 0 {
		return n, err
	}
	if !b.use.TakeRequest(int64(n) * bodyCost) {
		return 0, errNoMemory
	}
	return n, err
}
