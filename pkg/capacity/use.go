package capacity

import "sync/atomic"

const (
	// headerCopies is the number of copies of a request's header: as it arrived, and as it is sent.
	headerCopies = 2
	// copyBufferBytes is the size of the buffer for a streamed response, and smallCopyBufferBytes the size
	// while there is little memory.
	copyBufferBytes      = 32 << 10
	smallCopyBufferBytes = 4 << 10
)

// Use is the memory that one request has taken from a Plan. It is safe for concurrent use.
type Use struct {
	requests, responses *Budget
	request, response   atomic.Int64
}

// NewUse returns the use of a request that has taken nothing. p may be nil: the use is not bounded then.
func (p *Plan) NewUse() *Use {
	if p == nil {
		return &Use{}
	}
	return &Use{requests: p.Requests, responses: p.Responses}
}

// TakeHeader takes the memory of a header of n bytes. It returns false if there is too little.
func (u *Use) TakeHeader(n int64) bool { return u.TakeRequest(n * headerCopies) }

// TakeRequest takes n bytes for the buffered body of a request. It returns false if there are too few.
func (u *Use) TakeRequest(n int64) bool {
	if !u.requests.TakePart(n) {
		return false
	}
	u.request.Add(n)
	return true
}

// OverdrawRequest takes n bytes for a body that others are about to release.
func (u *Use) OverdrawRequest(n int64) {
	u.requests.Overdraw(n)
	u.request.Add(n)
}

// Request returns the bytes taken for the request.
func (u *Use) Request() int64 { return u.request.Load() }

// TakeResponse takes n bytes for a buffered response. It returns false if there are too few.
func (u *Use) TakeResponse(n int64) bool {
	if !u.responses.TakePart(n) {
		return false
	}
	u.response.Add(n)
	return true
}

// ReleaseResponse returns what was taken for the response.
func (u *Use) ReleaseResponse() { u.responses.Release(u.response.Swap(0)) }

// CopyBuffer returns a buffer for a streamed response. It is small while there is little memory.
func (u *Use) CopyBuffer() []byte {
	if u.TakeResponse(copyBufferBytes) {
		return make([]byte, copyBufferBytes)
	}
	return make([]byte, smallCopyBufferBytes)
}

// Release returns all that the request has taken.
func (u *Use) Release() {
	u.ReleaseResponse()
	u.requests.Release(u.request.Swap(0))
}
