package scenario

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"crocusramp.dev/crocusramp/internal/child"
)

const (
	// waitTimeout bounds how long a script waits for a condition.
	waitTimeout = 30 * time.Second
	// pollPeriod is the interval at which waits check their condition.
	pollPeriod = 20 * time.Millisecond
	// logTailBytes is how much of each log is printed after a failure.
	logTailBytes = 3000
)

// newHost returns a random loopback address, so that scripts that run concurrently
// do not use each other's ports.
func newHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
}

// ports sets PORT_name to a free port for each name: ports NAME...
func (sc *scenario) ports(ts *testscript.TestScript, names []string) error {
	for _, name := range names {
		port, err := sc.freePort()
		if err != nil {
			return err
		}
		ts.Setenv("PORT_"+name, port)
	}
	return nil
}

// freePort returns a free port that it has not returned before. The kernel may
// hand out a port again before anybody listens on it.
func (sc *scenario) freePort() (string, error) {
	for {
		l, err := net.Listen("tcp", sc.host+":0")
		if err != nil {
			return "", err
		}
		_, port, err := net.SplitHostPort(l.Addr().String())
		l.Close()
		if err != nil {
			return "", err
		}
		if !sc.usedPorts[port] {
			sc.usedPorts[port] = true
			return port, nil
		}
	}
}

// process is a process that the script started.
type process struct {
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{} // closed once err is set
	err    error
}

// start runs a program in the background: start NAME PROGRAM ARG...
func (sc *scenario) start(ts *testscript.TestScript, args []string) error {
	if err := usage(args, 2, "start NAME PROGRAM ARG..."); err != nil {
		return err
	}
	name := args[0]
	if p := sc.processes[name]; p != nil && !p.ended() {
		return fmt.Errorf("%s is running", name)
	}
	program, err := lookPath(ts.Getenv("PATH"), args[1])
	if err != nil {
		return err
	}
	log, err := os.OpenFile(ts.MkAbs(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p := &process{cmd: exec.Command(program, args[2:]...), log: log, exited: make(chan struct{})}
	p.cmd.Args[0] = args[1]
	p.cmd.Dir = ts.MkAbs(".")
	p.cmd.Env = append(os.Environ(), "GOTRACEBACK=all")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := child.Start(p.cmd); err != nil {
		return err
	}
	sc.processes[name] = p
	go p.wait()
	return nil
}

// lookPath finds program in the script's PATH, which differs from the PATH of the
// test binary.
func lookPath(path, program string) (string, error) {
	for _, dir := range filepath.SplitList(path) {
		file := filepath.Join(dir, program)
		if info, err := os.Stat(file); err == nil && !info.IsDir() && info.Mode()&0o111 != 0 {
			return file, nil
		}
	}
	return "", fmt.Errorf("%s: %w", program, exec.ErrNotFound)
}

func (p *process) wait() {
	p.err = p.cmd.Wait()
	p.log.Close()
	close(p.exited)
}

func (p *process) ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (sc *scenario) process(name string) (*process, error) {
	p := sc.processes[name]
	if p == nil {
		return nil, fmt.Errorf("no process %s was started", name)
	}
	return p, nil
}

var signals = map[string]syscall.Signal{
	"SIGTERM": syscall.SIGTERM, "SIGINT": syscall.SIGINT, "SIGKILL": syscall.SIGKILL,
	"SIGSTOP": syscall.SIGSTOP, "SIGCONT": syscall.SIGCONT, "SIGHUP": syscall.SIGHUP,
}

// signal sends a signal: signal NAME SIGTERM|SIGKILL|SIGSTOP|SIGCONT|SIGHUP
func (sc *scenario) signal(_ *testscript.TestScript, args []string) error {
	if err := usage(args, 2, "signal NAME SIGNAL"); err != nil {
		return err
	}
	p, err := sc.process(args[0])
	if err != nil {
		return err
	}
	s, ok := signals[args[1]]
	if !ok {
		return fmt.Errorf("unknown signal %s", args[1])
	}
	return p.cmd.Process.Signal(s)
}

// waitStopped waits until a process has exited: stopped NAME [STATUS]. Without STATUS
// it accepts any exit status. It sets the value stopped.seconds to the time that
// it waited.
func (sc *scenario) waitStopped(ts *testscript.TestScript, args []string) error {
	if err := usage(args, 1, "stopped NAME [STATUS]"); err != nil {
		return err
	}
	p, err := sc.process(args[0])
	if err != nil {
		return err
	}
	start := time.Now()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		return fmt.Errorf("%s is still running after %s", args[0], waitTimeout)
	}
	sc.values["stopped.seconds"] = time.Since(start).Seconds()
	fmt.Fprintf(ts.Stdout(), "stopped.seconds %.3f\n", sc.values["stopped.seconds"])
	if len(args) == 1 {
		return nil
	}
	if got := strconv.Itoa(p.cmd.ProcessState.ExitCode()); got != args[1] {
		return fmt.Errorf("%s exited with status %s (%v), want %s", args[0], got, p.err, args[1])
	}
	return nil
}

// logTails prints the end of each process's log.
func (sc *scenario) logTails(ts *testscript.TestScript) {
	for _, name := range slices.Sorted(maps.Keys(sc.processes)) {
		data, err := os.ReadFile(ts.MkAbs(name + ".log"))
		if err == nil && len(data) > 0 {
			ts.Logf("%s.log:\n%s", name, data[max(0, len(data)-logTailBytes):])
		}
	}
}

// killAll kills the processes that the script started.
func (sc *scenario) killAll() {
	for _, p := range sc.processes {
		if !p.ended() {
			_ = p.cmd.Process.Kill() // it may have exited in the meantime
		}
	}
	for _, p := range sc.processes {
		<-p.exited
	}
}

// waitFor polls a URL until its response has a 2xx status and a body that
// matches: waitfor URL [REGEXP], or until connections are refused:
// waitfor URL -down.
func (sc *scenario) waitFor(ts *testscript.TestScript, args []string) error {
	if err := usage(args, 1, "waitfor URL [REGEXP|-down]"); err != nil {
		return err
	}
	pattern := ""
	if len(args) > 1 {
		pattern = args[1]
	}
	match, err := regexp.Compile("(?s)" + pattern)
	if err != nil {
		return err
	}
	last := ""
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollPeriod) {
		body, err := get(args[0])
		if pattern == "-down" && errors.Is(err, syscall.ECONNREFUSED) {
			return nil
		}
		if err == nil && match.MatchString(body) {
			fmt.Fprint(ts.Stdout(), body)
			return nil
		}
		last = fmt.Sprintf("%.2000s (%v)", body, err)
	}
	return fmt.Errorf("%s did not match %q within %s: %s", args[0], pattern, waitTimeout, last)
}

var adminClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func get(url string) (string, error) {
	resp, err := adminClient.Get(url)
	if err != nil {
		return "", err
	}
	return readResponse(resp)
}

func readResponse(resp *http.Response) (string, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode/100 != 2 {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return string(body), err
}

// post sends JSON to an admin endpoint of a stand-in: post [-put] URL JSON
func (sc *scenario) post(ts *testscript.TestScript, args []string) error {
	method := http.MethodPost
	if len(args) > 0 && args[0] == "-put" {
		method, args = http.MethodPut, args[1:]
	}
	if err := usage(args, 2, "post [-put] URL JSON"); err != nil {
		return err
	}
	body, err := send(method, args[0], strings.Join(args[1:], " "))
	fmt.Fprint(ts.Stdout(), body)
	if err != nil {
		return fmt.Errorf("%w: %s", err, body)
	}
	return nil
}

func send(method, url, body string) (string, error) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := adminClient.Do(r)
	if err != nil {
		return "", err
	}
	return readResponse(resp)
}

// pause sleeps: pause DURATION. Scripts use it for a period that is part of the
// scenario, such as the duration of a lease, and never to wait for a condition.
func (sc *scenario) pause(_ *testscript.TestScript, args []string) error {
	if err := usage(args, 1, "pause DURATION"); err != nil {
		return err
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	time.Sleep(d)
	return nil
}

// capture sets a variable to the first group of a pattern in the standard output
// of the last command: capture NAME REGEXP
func (sc *scenario) capture(ts *testscript.TestScript, args []string) error {
	if err := usage(args, 2, "capture NAME REGEXP"); err != nil {
		return err
	}
	match, err := regexp.Compile(args[1])
	if err != nil {
		return err
	}
	found := match.FindStringSubmatch(ts.ReadFile("stdout"))
	if len(found) < 2 {
		return fmt.Errorf("no match of %q", args[1])
	}
	ts.Setenv(args[0], found[1])
	return nil
}
