package scenario

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"crocusramp.dev/crocusramp/pkg/settings"
	"crocusramp.dev/crocusramp/pkg/storage"
)

// fleetRegions are the regions of every fleet. VMs and targets with odd numbers
// are in the first, those with even numbers in the second.
var fleetRegions = []string{"muntenia", "moldova"}

// fleet holds the platform, the targets and the VMs of one script.
type fleet struct {
	// vms and targets map names to URLs, those of VMs for callers.
	vms, targets map[string]string
	targetNames  []string // in order of their numbers
	config       fleetConfig
	// base holds the settings that all VMs share.
	base settings.Settings
	// vmList is the platform's list of VMs.
	vmList []storage.VM
}

// fleetConfig holds the flags of the fleet command.
type fleetConfig struct {
	vms, targets, slots     int
	serviceTime             time.Duration
	leaseDuration, freshFor time.Duration
	// linked is a VM that reaches the platform, and is reached by its peers, only
	// over links.
	linked string
}

// fleet starts stand-ins for the platform, targets t-1.. and VMs vm-1.., and
// waits until all are ready: fleet [FLAG...]. It sets T_1.., VM_1.., OPS_1..,
// STORE, DIRECTORY and CROCUSRAMP_SERVER.
func (sc *scenario) fleet(ts *testscript.TestScript, args []string) error {
	var c fleetConfig
	f := flag.NewFlagSet("fleet", flag.ContinueOnError)
	f.SetOutput(ts.Stderr())
	f.IntVar(&c.vms, "vms", 4, "VMs")
	f.IntVar(&c.targets, "targets", 4, "targets")
	f.IntVar(&c.slots, "slots", 9, "slots of each target")
	f.DurationVar(&c.serviceTime, "service", 5*time.Millisecond, "service time of each target")
	f.DurationVar(&c.leaseDuration, "lease", 10*time.Second, "duration of slot leases")
	f.DurationVar(&c.freshFor, "fresh", 3*time.Second, "feed.fresh_for")
	f.StringVar(&c.linked, "linked", "", "VM that reaches the platform, and is reached by its peers, only over links")
	if err := f.Parse(args); err != nil {
		return err
	}
	fl := &fleet{vms: map[string]string{}, targets: map[string]string{}, config: c}
	sc.currentFleet = fl
	for _, step := range []func(*testscript.TestScript) error{sc.startPlatform, sc.startTargets, sc.startVMs} {
		if err := step(ts); err != nil {
			return err
		}
	}
	return nil
}

// freeAddress returns a free address and sets the variable to its URL.
func (sc *scenario) freeAddress(ts *testscript.TestScript, variable string) (string, error) {
	port, err := sc.freePort()
	if err != nil {
		return "", err
	}
	address := sc.host + ":" + port
	ts.Setenv(variable, "http://"+address)
	sc.labels[address] = "$" + variable
	return address, nil
}

func (sc *scenario) startPlatform(ts *testscript.TestScript) error {
	for _, name := range []string{"store", "directory"} {
		address, err := sc.freeAddress(ts, strings.ToUpper(name))
		if err != nil {
			return err
		}
		if err := sc.start(ts, []string{name, "standin", name, "--listen", address}); err != nil {
			return err
		}
		if err := sc.waitFor(ts, []string{"http://" + address + "/fault"}); err != nil {
			return err
		}
	}
	base := &sc.currentFleet.base
	base.Regions = fleetRegions
	base.Platform.Store.Address = strings.TrimPrefix(ts.Getenv("STORE"), "http://")
	base.Platform.Directory.URL = ts.Getenv("DIRECTORY")
	base.Platform.Directory.Poll.Duration = 200 * time.Millisecond
	base.Lease.Duration.Duration = sc.currentFleet.config.leaseDuration
	base.Lease.Poll.Duration = min(500*time.Millisecond, sc.currentFleet.config.leaseDuration/8)
	base.Feed.Poll.Duration = 200 * time.Millisecond
	base.Feed.FreshFor.Duration = sc.currentFleet.config.freshFor
	return nil
}

func (sc *scenario) startTargets(ts *testscript.TestScript) error {
	fl := sc.currentFleet
	pool := settings.Pool{Name: "registru", RequireEcho: true}
	for i := 1; i <= fl.config.targets; i++ {
		name := fmt.Sprintf("t-%d", i)
		address, err := sc.freeAddress(ts, fmt.Sprintf("T_%d", i))
		if err != nil {
			return err
		}
		err = sc.start(ts, []string{name, "standin", "target", "--listen", address, "--name", name,
			"--slots", fmt.Sprint(fl.config.slots), "--service-time", fl.config.serviceTime.String()})
		if err != nil {
			return err
		}
		fl.targets[name] = "http://" + address
		fl.targetNames = append(fl.targetNames, name)
		region := fleetRegions[(i-1)%len(fleetRegions)]
		pool.Targets = append(pool.Targets, settings.Target{
			ID: name, Address: address, Region: region, FailureDomain: region + "-a",
			Slots: fl.config.slots, Connections: 40 * fl.config.slots,
		})
	}
	for _, name := range fl.targetNames {
		if err := sc.waitFor(ts, []string{fl.targets[name] + "/healthz"}); err != nil {
			return err
		}
	}
	fl.base.Pools = []settings.Pool{pool}
	return nil
}

func (sc *scenario) startVMs(ts *testscript.TestScript) error {
	var names []string
	for i := 1; i <= sc.currentFleet.config.vms; i++ {
		names = append(names, fmt.Sprint(i))
	}
	if err := sc.configureVMs(ts, names); err != nil {
		return err
	}
	ts.Setenv("CROCUSRAMP_SERVER", ts.Getenv("OPS_1"))
	if err := sc.startConfiguredVMs(ts, names); err != nil {
		return err
	}
	return sc.waitSlotsHeld(ts, nil)
}

// waitSlotsHeld waits until the VMs that the first VM lists hold all slots together,
// and each live VM at least one: settled
func (sc *scenario) waitSlotsHeld(ts *testscript.TestScript, _ []string) error {
	url := ts.Getenv("CROCUSRAMP_SERVER") + "/twirp/crocusramp.operator.v1.Operations/ListVMs"
	last := ""
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollPeriod) {
		body, err := send(http.MethodPost, url, "{}")
		if err == nil && allSlotsHeld(body) {
			return nil
		}
		last = fmt.Sprintf("%s (%v)", body, err)
	}
	return fmt.Errorf("VMs did not hold all slots in time: %s", last)
}

// fleetSlots is the default number of slots of a fleet.
const fleetSlots = 16

func allSlotsHeld(body string) bool {
	var list struct {
		VMs []struct {
			State string `json:"state"`
			Slots int    `json:"slots_held"`
		} `json:"vms"`
	}
	if json.Unmarshal([]byte(body), &list) != nil {
		return false
	}
	sum := 0
	for _, vm := range list.VMs {
		if vm.State == "live" && vm.Slots == 0 {
			return false
		}
		sum += vm.Slots
	}
	return sum == fleetSlots
}

// configureVMs writes the settings files of VMs and adds the VMs to the
// platform's list.
func (sc *scenario) configureVMs(ts *testscript.TestScript, numbers []string) error {
	for _, n := range numbers {
		if err := sc.configureVM(ts, n); err != nil {
			return err
		}
	}
	return sc.publish()
}

func (sc *scenario) configureVM(ts *testscript.TestScript, n string) error {
	fl, name := sc.currentFleet, "vm-"+n
	s := fl.base
	var err error
	if s.Listen.Callers, err = sc.freeAddress(ts, "VM_"+n); err != nil {
		return err
	}
	if s.Listen.Operators, err = sc.freeAddress(ts, "OPS_"+n); err != nil {
		return err
	}
	if s.Listen.Peers, err = sc.freeAddress(ts, "PEER_"+n); err != nil {
		return err
	}
	last := int(n[len(n)-1] - '0')
	region := fleetRegions[(last-1)%len(fleetRegions)]
	s.VM = settings.VM{ID: name, Region: region, FailureDomain: region + "-" + string(rune('a'+(last-1)/2%2))}
	if name == fl.config.linked {
		if err := sc.startLinks(ts, name, &s); err != nil {
			return err
		}
	}
	fl.vms[name] = "http://" + s.Listen.Callers
	listed := s.Listen.Peers
	if s.Advertise.Peers != "" {
		listed = s.Advertise.Peers
	}
	fl.vmList = append(fl.vmList, storage.VM{ID: name, PeerAddress: listed, State: storage.VMLive})
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(ts.MkAbs(name+".json"), data, 0o600)
}

// startLinks starts a link from a VM to each service of the platform, and one from its
// peers to the VM. The links are processes named VM-SERVICE and VM-peers.
func (sc *scenario) startLinks(ts *testscript.TestScript, name string, s *settings.Settings) error {
	for service, url := range map[string]*string{
		"store": &s.Platform.Store.Address, "directory": &s.Platform.Directory.URL,
	} {
		port, err := sc.freePort()
		if err != nil {
			return err
		}
		address := sc.host + ":" + port
		to := strings.TrimPrefix(*url, "http://")
		if err := sc.start(ts, []string{name + "-" + service, "standin", "link", "--listen", address, "--to", to}); err != nil {
			return err
		}
		if err := sc.waitFor(ts, []string{"http://" + address + "/fault"}); err != nil {
			return err
		}
		*url = strings.Replace(*url, to, address, 1)
	}
	port, err := sc.freePort()
	if err != nil {
		return err
	}
	s.Advertise.Peers = sc.host + ":" + port
	return sc.start(ts, []string{name + "-peers", "standin", "link", "--listen", s.Advertise.Peers, "--to", s.Listen.Peers})
}

// vmNames returns the names of the VMs with these numbers, or of all VMs if numbers
// is empty.
func (fl *fleet) vmNames(numbers string) []string {
	if numbers == "" {
		return slices.Sorted(maps.Keys(fl.vms))
	}
	var names []string
	for n := range strings.SplitSeq(numbers, ",") {
		names = append(names, "vm-"+n)
	}
	return names
}

// publish sends the list of VMs to the platform.
func (sc *scenario) publish() error {
	body, err := json.Marshal(map[string]any{"vms": sc.currentFleet.vmList})
	if err != nil {
		return err
	}
	_, err = send(http.MethodPut, sc.currentFleet.base.Platform.Directory.URL, string(body))
	return err
}

// startConfiguredVMs starts configured VMs and waits until they are ready: vm N...
func (sc *scenario) startConfiguredVMs(ts *testscript.TestScript, numbers []string) error {
	for _, n := range numbers {
		name := "vm-" + n
		if err := sc.start(ts, []string{name, "crocusrampd", "serve", "--config", name + ".json"}); err != nil {
			return err
		}
	}
	for _, n := range numbers {
		if err := sc.waitReady("vm-"+n, ts.Getenv("OPS_"+n)+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until a VM is ready. It fails if the VM's process has exited.
func (sc *scenario) waitReady(name, url string) error {
	p, last := sc.processes[name], ""
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollPeriod) {
		body, err := get(url)
		if err == nil {
			return nil
		}
		if p.ended() {
			return fmt.Errorf("%s exited before it was ready: %v", name, p.err)
		}
		last = fmt.Sprintf("%s (%v)", body, err)
	}
	return fmt.Errorf("%s did not become ready in time: %s", name, last)
}

// newVMs configures and starts further VMs: newvm N...
func (sc *scenario) newVMs(ts *testscript.TestScript, numbers []string) error {
	if err := sc.configureVMs(ts, numbers); err != nil {
		return err
	}
	return sc.startConfiguredVMs(ts, numbers)
}

// setListedState changes the state of a VM in the platform's list:
// listed N live|leaving|removed
func (sc *scenario) setListedState(_ *testscript.TestScript, args []string) error {
	if err := usage(args, 2, "listed N live|leaving|removed"); err != nil {
		return err
	}
	fl, id := sc.currentFleet, "vm-"+args[0]
	i := slices.IndexFunc(fl.vmList, func(vm storage.VM) bool { return vm.ID == id })
	if i < 0 {
		return fmt.Errorf("%s is not in the list", id)
	}
	if args[1] == "removed" {
		fl.vmList = slices.Delete(fl.vmList, i, i+1)
	} else {
		fl.vmList[i].State = storage.VMState(args[1])
	}
	return sc.publish()
}

// routeTimeout bounds requests. It is also how long a slot carries no permits
// after its holder changed, since the former holder's requests may still be
// running.
const routeTimeout = "2s"

// account creates a client account with a key: account NAME RATE BURST. The first
// call also creates the routes. It sets KEY_name and KEYID_name.
func (sc *scenario) account(ts *testscript.TestScript, args []string) error {
	if err := usage(args, 3, "account NAME RATE BURST"); err != nil {
		return err
	}
	lines := [][]string{{"account", "create", args[0], "--rate", args[1], "--burst", args[2]}}
	if len(sc.keys) == 0 {
		lines = append(lines,
			[]string{"route", "create", "lookup", "--path", "/lookup", "--pool", "registru", "--mode", "idempotent", "--timeout", routeTimeout},
			[]string{"route", "create", "filing", "--path", "/filing", "--pool", "registru", "--mode", "at-most-once", "--priority", "high", "--timeout", routeTimeout})
	}
	lines = append(lines, []string{"key", "grant", args[0], "--json"})
	for _, line := range lines {
		if err := ts.Exec("crocusramp", line...); err != nil {
			return fmt.Errorf("crocusramp %s: %w: %s", strings.Join(line, " "), err, ts.ReadFile("stderr"))
		}
	}
	var granted struct{ ID, Key string }
	if err := json.Unmarshal([]byte(ts.ReadFile("stdout")), &granted); err != nil {
		return err
	}
	sc.keys[args[0]] = granted.Key
	ts.Setenv("KEY_"+args[0], granted.Key)
	ts.Setenv("KEYID_"+args[0], granted.ID)
	sc.labels[granted.ID] = "$KEYID_" + args[0]
	if err := sc.waitKeys(ts, []string{granted.Key}); err != nil {
		return err
	}
	return sc.waitLookups(granted.Key)
}

// waitKeys waits until every running VM accepts a key: waitkey KEY
func (sc *scenario) waitKeys(_ *testscript.TestScript, args []string) error {
	if err := usage(args, 1, "waitkey KEY"); err != nil {
		return err
	}
	for _, vm := range sc.currentFleet.vmNames("") {
		p := sc.processes[vm]
		if p == nil || p.ended() {
			continue
		}
		if err := sc.waitKey(sc.currentFleet.vms[vm], args[0]); err != nil {
			return fmt.Errorf("%s: %w", vm, err)
		}
	}
	return nil
}

// waitServing waits until every VM has served a look-up: ready KEY
func (sc *scenario) waitServing(_ *testscript.TestScript, args []string) error {
	if err := usage(args, 1, "ready KEY"); err != nil {
		return err
	}
	return sc.waitLookups(args[0])
}

// waitLookups waits until every VM has served a look-up.
func (sc *scenario) waitLookups(key string) error {
	client := newCaller(1)
	defer client.CloseIdleConnections()
	r := request{method: http.MethodGet, key: key}
	for _, vm := range sc.currentFleet.vmNames("") {
		var last result
		deadline := time.Now().Add(waitTimeout)
		for last.kind != kindDone {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s did not serve a look-up in time: %s %d %s %v", vm, last.kind, last.status, last.body, last.err)
			}
			last = r.send(context.Background(), client, sc.currentFleet.vms[vm]+"/lookup/ready")
			time.Sleep(pollPeriod)
		}
	}
	return nil
}

// waitKey waits until a VM accepts a key.
func (sc *scenario) waitKey(url, key string) error {
	client := newCaller(1)
	defer client.CloseIdleConnections()
	r := request{method: "GET", key: key}
	var last result
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollPeriod) {
		if last = r.send(context.Background(), client, url+"/v1/locate"); last.status == 200 {
			return nil
		}
	}
	return fmt.Errorf("key not accepted in time: %d %s %v", last.status, last.body, last.err)
}
