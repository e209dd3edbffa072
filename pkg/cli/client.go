package cli

import (
	"net/http"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
)

// client holds clients for all services of the operators' API on one server.
type client struct {
	server        string
	accounts      operatorpb.Accounts
	limits        operatorpb.Limits
	keys          operatorpb.Keys
	routes        operatorpb.Routes
	shifts        operatorpb.Shifts
	drains        operatorpb.Drains
	configuration operatorpb.Configuration
	operations    operatorpb.Operations
}

// clientFor returns a client for the server. Unless the token is empty, each call sends it.
func clientFor(server, token string, h *http.Client) *client {
	if token != "" {
		h.Transport = bearerTransport{token: token, next: http.DefaultTransport}
	}
	return &client{
		server:        server,
		accounts:      operatorpb.NewAccountsProtobufClient(server, h),
		limits:        operatorpb.NewLimitsProtobufClient(server, h),
		keys:          operatorpb.NewKeysProtobufClient(server, h),
		routes:        operatorpb.NewRoutesProtobufClient(server, h),
		shifts:        operatorpb.NewShiftsProtobufClient(server, h),
		drains:        operatorpb.NewDrainsProtobufClient(server, h),
		configuration: operatorpb.NewConfigurationProtobufClient(server, h),
		operations:    operatorpb.NewOperationsProtobufClient(server, h),
	}
}

// bearerTransport adds the operator's token to requests.
type bearerTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	return b.next.RoundTrip(r)
}
