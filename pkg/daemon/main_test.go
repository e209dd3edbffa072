package daemon

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/settings"
	"crocusramp.dev/crocusramp/pkg/standin/directory"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/platform/standin"
)

// waitTimeout bounds how long a test waits for a condition, which normally holds
// within a second.
const waitTimeout = 30 * time.Second

type standins struct {
	store     *standin.Store
	platform  settings.Platform
	directory *directory.Server
}

func startStandins(t testing.TB) *standins {
	t.Helper()
	s := &standins{store: standin.New(), directory: directory.New()}
	serve := func(h http.Handler) string {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		return server.URL
	}
	s.platform = settings.Platform{
		Store:     settings.Store{Address: strings.TrimPrefix(serve(s.store.Handler()), "http://")},
		Directory: settings.Directory{URL: serve(s.directory.Handler()) + "/"},
	}
	return s
}

func (s *standins) settings(id string) settings.Settings {
	return settings.Settings{
		VM:       settings.VM{ID: id, Region: "north", FailureDomain: "north-a"},
		Listen:   settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"},
		Regions:  []string{"north"},
		Platform: s.platform,
	}
}

func writeSettings(t *testing.T, s settings.Settings) string {
	t.Helper()
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestMainReportsInvalidInputInOneLine checks that invalid command lines and
// settings end with the right exit status and an error of one line.
func TestMainReportsInvalidInputInOneLine(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	s := startStandins(t)
	inUse := s.settings("vm-1")
	inUse.Listen.Callers = taken.Addr().String()
	noCert := s.settings("vm-1")
	noCert.TLS.Operators = settings.KeyPair{CertFile: "/nonexistent", KeyFile: "/nonexistent"}
	wrongUnit := filepath.Join(t.TempDir(), "unit.json")
	if err := os.WriteFile(wrongUnit, []byte(`{"lease":{"duration":"15 min"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, want string
		args       []string
		status     int
	}{
		{"no command", "a command is missing", nil, ExitUsage},
		{"unknown flag", "--nope", []string{"serve", "--nope"}, ExitUsage},
		{"missing file", "no such file", []string{"serve", "--config", "/nonexistent"}, ExitUsage},
		{"wrong unit", "lease.duration", []string{"check", "--config", wrongUnit}, ExitUsage},
		{"port in use", "listen.callers", []string{"serve", "--config", writeSettings(t, inUse)}, ExitUsage},
		{"certificate missing", "tls.operators", []string{"serve", "--config", writeSettings(t, noCert)}, ExitUsage},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			status := Main(tt.args, &stdout, &stderr, Commands{})
			if status != tt.status || !strings.Contains(stderr.String(), tt.want) || strings.Count(stderr.String(), "\n") != 1 {
				t.Errorf("status %d, stderr %q; want status %d and one line with %q", status, stderr.String(), tt.status, tt.want)
			}
		})
	}
	var stdout, stderr bytes.Buffer
	if status := Main([]string{"check", "--config", writeSettings(t, s.settings("vm-1"))}, &stdout, &stderr, Commands{}); status != ExitOK {
		t.Errorf("check: status %d, %s", status, stderr.String())
	}
}

// start runs a daemon until the test ends.
func start(t *testing.T, s settings.Settings) *Daemon {
	t.Helper()
	return startWithLog(t, s, zerolog.Nop())
}

// startWithLog is like start with a log.
func startWithLog(t *testing.T, s settings.Settings, log zerolog.Logger) *Daemon {
	t.Helper()
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := settings.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	d, err := New(context.Background(), parsed, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return d
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", waitTimeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestStoppingVMIsAliveButNotReady(t *testing.T) {
	s := startStandins(t)
	vm := s.settings("vm-1")
	vm.Stop.Notice = settings.Duration{Duration: 10 * time.Millisecond}
	d := start(t, vm)
	get := func(path string) (int, string) {
		r, err := http.Get("http://" + d.listeners.callers.Addr().String() + path)
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		body, _ := io.ReadAll(r.Body)
		return r.StatusCode, string(body)
	}
	waitFor(t, "the VM is ready", func() bool { status, _ := get("/readyz"); return status == http.StatusOK })
	d.stopping.Store(true)
	if status, body := get("/readyz"); status != http.StatusServiceUnavailable || !strings.Contains(body, "stopping") {
		t.Errorf("/readyz of a stopping VM: status %d, body %s; want 503 and a body with \"stopping\"", status, body)
	}
	if status, _ := get("/healthz"); status != http.StatusOK {
		t.Errorf("/healthz of a stopping VM: status %d, want 200", status)
	}
}

// issueSelfSigned writes a self-signed certificate for 127.0.0.1, which is also
// its own CA.
func issueSelfSigned(t *testing.T, dir string) settings.KeyPair {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "vm"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	pair := settings.KeyPair{
		CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "cert.pem"),
	}
	for path, block := range map[string]*pem.Block{
		pair.CertFile: {Type: "CERTIFICATE", Bytes: der}, pair.KeyFile: {Type: "EC PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return pair
}

// TestPeersRequireTLS checks that VMs reach each other over TLS and that
// the peer port does not serve plain HTTP.
func TestPeersRequireTLS(t *testing.T) {
	s := startStandins(t)
	pair := issueSelfSigned(t, t.TempDir())
	var daemons []*Daemon
	var list []storage.VM
	for i := range 2 {
		vm := s.settings(fmt.Sprint("vm-", i))
		vm.TLS.Peers = pair
		vm.Stop.Notice = settings.Duration{Duration: 10 * time.Millisecond}
		d := start(t, vm)
		daemons = append(daemons, d)
		list = append(list, storage.VM{ID: vm.VM.ID, PeerAddress: d.PeerAddress(), State: storage.VMLive})
	}
	s.directory.Set(list)
	waitFor(t, "each VM has a heartbeat from the other", func() bool {
		for _, d := range daemons {
			v := d.members.View()
			if len(v.Peers) != 1 || v.Peers[0].State != member.Live || v.Peers[0].Incarnation == "" {
				return false
			}
		}
		return true
	})
	if r, err := http.Get("http://" + daemons[0].PeerAddress()); err == nil {
		defer r.Body.Close()
		if r.StatusCode != http.StatusBadRequest {
			t.Errorf("plain HTTP to the peer port: status %d, want 400", r.StatusCode)
		}
	}
}
