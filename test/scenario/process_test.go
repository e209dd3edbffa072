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
	// bound is how long a script waits for what must happen.
	bound = 30 * time.Second
	// pollPeriod is how often a script looks whether it has happened.
	pollPeriod = 20 * time.Millisecond
	// logTailBytes is how much of each log a failure shows.
	logTailBytes = 3000
)

// newHost returns a loopback address that no other script uses, so that the
// ports on it are free.
func newHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
}

// ports sets PORT_name to a free port for each name.
func (w *world) ports(ts *testscript.TestScript, names []string) error {
	for _, name := range names {
		port, err := w.freePort()
		if err != nil {
			return err
		}
		ts.Setenv("PORT_"+name, port)
	}
	return nil
}

// freePort returns a port that was not given out before: the kernel offers a
// port again that nobody listens on yet.
func (w *world) freePort() (string, error) {
	for {
		l, err := net.Listen("tcp", w.host+":0")
		if err != nil {
			return "", err
		}
		_, port, err := net.SplitHostPort(l.Addr().String())
		l.Close()
		if err != nil {
			return "", err
		}
		if !w.given[port] {
			w.given[port] = true
			return port, nil
		}
	}
}

// process is one that the script started.
type process struct {
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{} // closed once err is set
	err    error
}

// start runs a program in the background: start NAME PROGRAM ARG...
func (w *world) start(ts *testscript.TestScript, args []string) error {
	if err := usage(args, 2, "start NAME PROGRAM ARG..."); err != nil {
		return err
	}
	name := args[0]
	if p := w.processes[name]; p != nil && !p.ended() {
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
	w.processes[name] = p
	go p.wait()
	return nil
}

// lookPath finds program in the script's PATH, which is not the test's own.
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

func (w *world) process(name string) (*process, error) {
	p := w.processes[name]
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
func (w *world) signal(_ *testscript.TestScript, args []string) error {
	if err := usage(args, 2, "signal NAME SIGNAL"); err != nil {
		return err
	}
	p, err := w.process(args[0])
	if err != nil {
		return err
	}
	s, ok := signals[args[1]]
	if !ok {
		return fmt.Errorf("unknown signal %s", args[1])
	}
	return p.cmd.Process.Signal(s)
}

// stopped waits until a process has ended: stopped NAME [STATUS]. Without a
// status any will do; the time that it took is the value stopped.seconds.
func (w *world) stopped(ts *testscript.TestScript, args []string) error {
	if err := usage(args, 1, "stopped NAME [STATUS]"); err != nil {
		return err
	}
	p, err := w.process(args[0])
	if err != nil {
		return err
	}
	start := time.Now()
	select {
	case <-p.exited:
	case <-time.After(bound):
		return fmt.Errorf("%s runs still after %s", args[0], bound)
	}
	w.values["stopped.seconds"] = time.Since(start).Seconds()
	fmt.Fprintf(ts.Stdout(), "stopped.seconds %.3f\n", w.values["stopped.seconds"])
	if len(args) == 1 {
		return nil
	}
	if got := strconv.Itoa(p.cmd.ProcessState.ExitCode()); got != args[1] {
		return fmt.Errorf("%s ended with status %s (%v), want %s", args[0], got, p.err, args[1])
	}
	return nil
}

// logTails shows the end of each process's log.
func (w *world) logTails(ts *testscript.TestScript) {
	for _, name := range slices.Sorted(maps.Keys(w.processes)) {
		data, err := os.ReadFile(ts.MkAbs(name + ".log"))
		if err == nil && len(data) > 0 {
			ts.Logf("%s.log:\n%s", name, data[max(0, len(data)-logTailBytes):])
		}
	}
}

// killAll ends the processes that the script started, by their ids.
func (w *world) killAll() {
	for _, p := range w.processes {
		if !p.ended() {
			_ = p.cmd.Process.Kill() // it may have ended by itself just now
		}
	}
	for _, p := range w.processes {
		<-p.exited
	}
}

// waitFor polls until a URL answers 200 with a body that matches:
// waitfor URL [REGEXP], or until it refuses connections: waitfor URL -down.
func (w *world) waitFor(ts *testscript.TestScript, args []string) error {
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
	for deadline := time.Now().Add(bound); time.Now().Before(deadline); time.Sleep(pollPeriod) {
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
	return fmt.Errorf("%s did not match %q within %s: %s", args[0], pattern, bound, last)
}

var admin = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func get(url string) (string, error) {
	resp, err := admin.Get(url)
	if err != nil {
		return "", err
	}
	return readAnswer(resp)
}

func readAnswer(resp *http.Response) (string, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode/100 != 2 {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return string(body), err
}

// post sends JSON to an admin endpoint of a stand-in: post [-put] URL JSON
func (w *world) post(ts *testscript.TestScript, args []string) error {
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
	resp, err := admin.Do(r)
	if err != nil {
		return "", err
	}
	return readAnswer(resp)
}

// pause lets time pass that the scenario is about, such as the length of a
// lease; it never stands for waiting until something has happened.
func (w *world) pause(_ *testscript.TestScript, args []string) error {
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

// capture sets a variable to the first group of a pattern in the last standard
// output: capture NAME REGEXP
func (w *world) capture(ts *testscript.TestScript, args []string) error {
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
