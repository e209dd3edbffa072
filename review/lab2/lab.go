// Package lab2 holds what the scripts of the second review share: VMs as separate processes, the project's
// stand-in for the platform's store, a record of what happened, and a client that sees each connection's end.
package lab2

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"crocusramp.dev/crocusramp/platform/standin"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Lab is one run of a script.
type Lab struct {
	Trouble bool
	Store   *standin.Store

	dir     string
	started time.Time
	mu      sync.Mutex
	record  *os.File
	vms     []*VM
	storeAt string
}

// VM is a VM with its running process.
type VM struct {
	ID, Zone, Region              string
	Callers, Locate, Ready, Peers string
	Metrics                       string
	StoreAddress                  string
	lab                           *Lab
	cmd                           *exec.Cmd
	exited                        chan struct{}
	settings                      string
}

// Open starts a run. It records in record.txt in the folder folder.
func Open(folder string) (*Lab, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", Store: standin.New(), dir: dir, started: time.Now(), record: record}
	l.storeAt, err = Serve(l.Store.Handler())
	return l, err
}

// Serve serves a handler on a free loopback address until the program ends.
func Serve(h http.Handler) (address string, _ error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, h) }() // ends with the program
	return listener.Addr().String(), nil
}

// StoreAddress returns the address of the store.
func (l *Lab) StoreAddress() string { return l.storeAt }

// Note writes a line to the record.
func (l *Lab) Note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// At returns the time since the start of the run in seconds.
func (l *Lab) At(t time.Time) float64 { return t.Sub(l.started).Seconds() }

// Close ends all processes and returns code, which it records.
func (l *Lab) Close(code int, verdict string) int {
	for _, v := range l.vms {
		v.Kill()
	}
	l.Note("%s; exit code %d", verdict, code)
	fmt.Println(verdict)
	l.record.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, v := range l.vms {
			data, _ := os.ReadFile(filepath.Join(l.dir, v.ID+".log"))
			_ = os.WriteFile(filepath.Join(keep, v.ID+".log"), data, 0o600)
		}
	}
	_ = os.RemoveAll(l.dir)
	return code
}

// freeAddress returns a free address on a loopback host.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Zones of the small deployment.
var Zones = map[string]string{"zone-a": "east", "zone-b": "east", "zone-c": "west", "zone-d": "west"}

// StartVM starts a VM on a loopback host of its own, when the whole system starts for the first time.
func (l *Lab) StartVM(id, zone, host string) (*VM, error) {
	return l.StartVMWith(id, zone, host, l.storeAt, true)
}

// StartVMWith starts a VM that reaches the store at an address. first is false for a machine that is added later.
func (l *Lab) StartVMWith(id, zone, host, storeAddress string, first bool) (*VM, error) {
	v := &VM{ID: id, Zone: zone, Region: Zones[zone], lab: l, StoreAddress: storeAddress}
	for _, address := range []*string{&v.Callers, &v.Locate, &v.Ready, &v.Peers, &v.Metrics} {
		var err error
		if *address, err = freeAddress(host); err != nil {
			return nil, err
		}
	}
	l.vms = append(l.vms, v)
	return v, v.Start(first)
}

// write writes the settings, as the template of the deploy file lays them out.
func (v *VM) write(first bool) error {
	s := map[string]any{
		"vm":              map[string]any{"id": v.ID, "region": v.Region, "failure_domain": v.Zone},
		"listen":          map[string]any{"callers": v.Callers, "locate": v.Locate, "ready": v.Ready, "peers": v.Peers, "metrics": v.Metrics},
		"failure_domains": Zones,
		"first_start":     first,
		"store":           map[string]any{"address": v.StoreAddress, "reads_per_second": 2000, "writes_per_second": 400},
		"bounds": map[string]any{
			"drain": "2s", "grace": "6s", "locate_ttl": "5s", "repeat_ratio": 0.2, "repeat_floor": 60, "repeat_window": "10s",
			"quota_window": "5s", "quota_overage": 0.1, "quota_slack": 20, "cold_factor": 1.5, "cold_slack": 5,
		},
	}
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	v.settings = filepath.Join(v.lab.dir, v.ID+".json")
	return os.WriteFile(v.settings, text, 0o600)
}

// Start starts the VM's next process with the command of the deploy file.
func (v *VM) Start(first bool) error {
	if err := v.write(first); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.lab.dir, v.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.cmd = exec.Command("target/crocusrampd", "edge", "--settings", v.settings)
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	v.lab.Note("%s started as process %d, callers at %s", v.ID, v.cmd.Process.Pid, v.Callers)
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait() // the state tells how it ended
		log.Close()
		v.lab.Note("%s ended: %s", v.ID, c.ProcessState)
		close(exited)
	}(v.cmd, v.exited)
	return nil
}

// Process returns the ID of the VM's latest process.
func (v *VM) Process() int { return v.cmd.Process.Pid }

// Exited is closed once the process has ended.
func (v *VM) Exited() <-chan struct{} { return v.exited }

// Signal sends a signal to the process.
func (v *VM) Signal(s syscall.Signal) {
	v.lab.Note("%s gets %v", v.ID, s)
	_ = v.cmd.Process.Signal(s) // it may have ended
}

// Kill kills the process and waits for its end.
func (v *VM) Kill() {
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	_ = v.cmd.Process.Kill() // it may have ended
	<-v.exited
}

// AwaitReady waits until all VMs answer that they are ready.
func (l *Lab) AwaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, v := range l.vms {
		for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			resp, err := client.Get("http://" + v.Ready + "/api/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return errors.New(v.ID + " was not ready within 15 s")
			}
		}
	}
	l.Note("all VMs are ready")
	return nil
}

// PutJSON writes a row as JSON on behalf of an operator or a target.
func (l *Lab) PutJSON(table, name string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	l.Store.Put(table, name, text)
}

// PutTarget writes the row of a target.
func (l *Lab) PutTarget(id, service, address, zone string, slots, seq int, born time.Time, state string) {
	l.PutJSON("servers", id, map[string]any{
		"address": address, "born": born.UnixMilli(),
		"info":   map[string]any{"service": service, "zone": zone, "version": "v1", "slots": slots},
		"status": map[string]any{"state": state, "seq": seq, "cold_remaining_s": 0},
	})
}
