package route

import (
	"testing"

	"crocusramp.dev/crocusramp/pkg/config"
)

func testConfig() *config.Config {
	cfg := config.Empty()
	for _, r := range []*config.Route{
		{Name: "all", PathPrefix: "/", Methods: []string{"GET"}},
		{Name: "certificates", PathPrefix: "/certificates"},
		{Name: "stamp", PathPrefix: "/certificates/stamp", Methods: []string{"POST"}},
		{Name: "stamp-b", PathPrefix: "/certificates/stamp", Methods: []string{"POST"}},
	} {
		cfg.Routes[r.Name] = r
	}
	return cfg
}

func TestMatch(t *testing.T) {
	cfg := testConfig()
	for _, tc := range []struct{ method, path, want string }{
		{"GET", "/", "all"},
		{"POST", "/", ""},
		{"GET", "/certificates", "certificates"},
		{"GET", "/certificates/7", "certificates"},
		{"GET", "/certificates2", "all"},
		{"POST", "/certificates/stamp", "stamp"},
		{"GET", "/certificates/stamp", "certificates"},
		{"POST", "/certificates/stamp/1", "stamp"},
		{"GET", "/x/../certificates", ""},
		{"GET", "/certificates/..", ""},
		{"GET", "//certificates", ""},
		{"POST", "/certificates/stamp%2F1", "certificates"},
		{"GET", "/certificates/stamp%2F1", "certificates"},
		{"GET", "/x/%2e%2e/certificates", ""},
		{"GET", "/certificates%2F..", ""},
		{"GET", "/%2Fcertificates", ""},
		{"GET", "", ""},
		{"GET", "*", ""},
	} {
		got := ""
		if r := Match(cfg, tc.method, tc.path); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%s %s: got %q, want %q", tc.method, tc.path, got, tc.want)
		}
	}
}

func BenchmarkMatch(b *testing.B) {
	cfg := testConfig()
	b.ReportAllocs()
	for b.Loop() {
		Match(cfg, "POST", "/certificates/stamp")
	}
}
