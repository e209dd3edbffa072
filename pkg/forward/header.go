package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that apply to a single connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop deletes the hop-by-hop headers, including those that the Connection
// header lists.
func RemoveHopByHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
