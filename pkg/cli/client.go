package cli

import (
	"net/http"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
)

// client reaches all services of the operators' API on one server.
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

// connect returns a client that shows the token with each call, if not empty.
func connect(server, token string, h *http.Client) *client {
	if token != "" {
		h.Transport = bearer{token: token, next: http.DefaultTransport}
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

// bearer adds the operator's token to requests.
type bearer struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	return b.next.RoundTrip(r)
}
