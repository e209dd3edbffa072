package attempt

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestClientConnectsToTheEndpointAlone checks the proxy by the field: a client
// with a proxy from the environment would still reach loopback directly.
func TestClientConnectsToTheEndpointAlone(t *testing.T) {
	client := NewClient()
	if client.Transport.(*http.Transport).Proxy != nil {
		t.Error("the client uses a proxy")
	}
	elsewhere := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("the client followed a redirect")
	}))
	defer elsewhere.Close()
	server := httptest.NewServer(http.RedirectHandler(elsewhere.URL, http.StatusTemporaryRedirect))
	defer server.Close()
	resp, err := client.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusTemporaryRedirect {
		t.Errorf("status %d", resp.StatusCode)
	}
}
