// Package estate runs a small installation on the fake platform: store and endpoints in this process, entries and agents as processes
// of their own on loopback.
package estate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/launcher"
	"bamboohook/internal/standin/instance"
	"bamboohook/internal/standin/metastore"
)

const (
	portStore     = 28001
	portApp       = 28002
	portControl   = 28003
	portFront     = 28004
	portReady     = 28005
	portInternal  = 28010
	internalPorts = 6
	// service and host of the only route.
	service   = "workers"
	host      = "jobs.example"
	prefix    = "/batch/"
	milli     = 8000
	megabytes = 16000
	// taskMegabytes is the memory of a task, callLimit what a caller waits for an answer.
	taskMegabytes = 50
	callLimit     = 4 * time.Second
	readyLimit    = 10 * time.Second
	readyPoll     = 20 * time.Millisecond
)

// Installation is an installation. Set the exported fields before Start.
type Installation struct {
	// ProgramDir is the directory of the program bamboohook, OutputDir receives settings and output.
	ProgramDir string
	OutputDir  string
	// Subnet is the second byte of all addresses, so that estates side by side do not meet.
	Subnet  int
	Entries int
	VMs     int
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration

	Store     *metastore.Metastore
	Instances []*instance.Instance

	launch  launcher.Launcher
	mutex   sync.Mutex
	events  []instance.Event
	version int
}

// Start starts everything, and returns once all entries are ready. Processes and servers end with ctx or Stop.
func (e *Installation) Start(ctx context.Context) error {
	e.launch = launcher.Launcher{ProgramDir: e.ProgramDir, OutputDir: e.OutputDir}
	e.Store = &metastore.Metastore{Delay: time.Millisecond}
	if err := serve(ctx, e.Store.Handler(), address(e.ip(0, 1), portStore)); err != nil {
		return err
	}
	e.PublishConfiguration(service)
	for n := range e.VMs {
		ip := e.ip(2, n+1)
		i := &instance.Instance{
			ID: fmt.Sprintf("i-%d", n), Service: service, Zone: "z", Rack: fmt.Sprintf("r%d", n/3), Address: address(ip, portApp),
			AgentAddress: address(ip, portControl), MilliProcessors: milli, MemoryMB: megabytes, OnEvent: e.observe,
		}
		if err := serve(ctx, i.Handler(), i.Address); err != nil {
			return err
		}
		e.Instances = append(e.Instances, i)
		go func() { _ = i.Run(ctx) }()
		if err := e.StartProcess(AgentName(n)); err != nil {
			return err
		}
	}
	for n := range e.Entries {
		if err := e.StartProcess(EntryName(n)); err != nil {
			return err
		}
	}
	for n := range e.Entries {
		if err := e.WaitReady(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// EntryName returns the name of an entry's process.
func EntryName(n int) string { return fmt.Sprintf("entry-%d", n) }

// AgentName returns the name of an agent's process.
func AgentName(n int) string { return fmt.Sprintf("agent-%d", n) }

// StartProcess starts an entry or agent, again if it has ended.
func (e *Installation) StartProcess(name string) error {
	role, number, _ := strings.Cut(name, "-")
	var n int
	if _, err := fmt.Sscan(number, &n); err != nil {
		return eris.Wrapf(err, "estate: no process is called %s", name)
	}
	file := filepath.Join(e.OutputDir, name+".toml")
	if err := os.WriteFile(file, []byte(e.settings(role, n)), 0o600); err != nil {
		return eris.Wrap(err, "estate: cannot write settings")
	}
	_, err := e.launch.Start(name, "bamboohook", "platform", role, file)
	return err
}

// Process returns the process that was started last under the name, or nil.
func (e *Installation) Process(name string) *launcher.Process { return e.launch.Process(name) }

// Stop ends all processes that were started.
func (e *Installation) Stop() { e.launch.Close(0) }

// PublishConfiguration publishes a configuration whose route leads to the service.
func (e *Installation) PublishConfiguration(to string) {
	e.mutex.Lock()
	e.version += 3
	version := e.version
	e.mutex.Unlock()
	e.Store.AppendRecord("keyed.op", "config", map[string]any{
		"Version": version,
		"Routes": []map[string]any{{
			"Name": "r", "Host": host, "PathPrefix": prefix, "Kind": "non_idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 250, "Priority": 0,
			"Service": to, "MaxAttempts": 3, "Stretch": 2.0,
		}},
		"Services": []map[string]any{{"Name": to}},
		"Limits":   map[string]any{"MaxBodyBytes": 65536},
	})
}

// WaitReady waits until the entry says that it is ready.
func (e *Installation) WaitReady(ctx context.Context, n int) error {
	limit, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(limit, http.MethodGet, "http://"+address(e.ip(1, n+1), portReady)+"/v1/readyz", nil)
		if err != nil {
			return eris.Wrap(err, "estate: cannot make a request")
		}
		answer, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		if limit.Err() != nil {
			return eris.Errorf("estate: entry %d is not ready after %s", n, readyLimit)
		}
		time.Sleep(readyPoll)
	}
}

// Call makes a caller's request at an entry and returns status, Retry-After and body.
func (e *Installation) Call(ctx context.Context, entry int, method, id string, body any) (status int, retryAfter, text string, err error) {
	var content io.Reader
	switch b := body.(type) {
	case nil:
	case string:
		content = strings.NewReader(b)
	default:
		encoded, err := json.Marshal(b)
		if err != nil {
			return 0, "", "", eris.Wrap(err, "estate: cannot encode the body")
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address(e.ip(1, entry+1), portFront)+prefix+id, content)
	if err != nil {
		return 0, "", "", eris.Wrap(err, "estate: cannot make a request")
	}
	request.Host = host
	request.Header.Set("Deadline-Ms", "3000")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", "", eris.Wrap(err, "estate: no answer")
	}
	defer func() { _ = answer.Body.Close() }()
	raw, err := io.ReadAll(answer.Body)
	return answer.StatusCode, answer.Header.Get("Retry-After"), string(raw), eris.Wrap(err, "estate: answer ended early")
}

// Step is a step of a job whose tasks take the same time.
type Step struct {
	Tasks           int
	MilliProcessors int
	// After lists earlier steps.
	After []int
}

// Submit hands a job in at the entry and reports whether it was accepted. Each task takes the length.
func (e *Installation) Submit(ctx context.Context, entry int, id string, length time.Duration, steps ...Step) bool {
	var encoded []map[string]any
	for _, s := range steps {
		encoded = append(encoded, map[string]any{
			"Count": s.Tasks, "Cpu": s.MilliProcessors, "MemMb": taskMegabytes, "EstimateMs": length.Milliseconds(), "After": s.After,
		})
	}
	body := map[string]any{"Spec": fmt.Sprint(length.Milliseconds()), "Steps": encoded}
	call, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	status, _, _, err := e.Call(call, entry, http.MethodPost, id, body)
	return err == nil && status == http.StatusOK
}

// State returns the state of a job as the entry shows it, or "" without an answer.
func (e *Installation) State(ctx context.Context, entry int, id string) string {
	call, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	status, _, text, err := e.Call(call, entry, http.MethodGet, id, nil)
	var answer struct{ State string }
	if err != nil || status != http.StatusOK || json.Unmarshal([]byte(text), &answer) != nil {
		return ""
	}
	return answer.State
}

// Owner returns the number of the entry that owns the jobs by the record in the store, or -1 if nobody has claimed them.
func (e *Installation) Owner() int {
	text, ok := e.Store.Newest("keyed.jobs", "owner")
	var record struct{ Address string }
	if !ok || json.Unmarshal([]byte(text), &record) != nil {
		return -1
	}
	for n := range e.Entries {
		if record.Address == address(e.ip(1, n+1), portInternal) {
			return n
		}
	}
	return -1
}

// Events returns the starts and ends at all endpoints so far.
func (e *Installation) Events() []instance.Event {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]instance.Event{}, e.events...)
}

func (e *Installation) observe(event instance.Event) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.events = append(e.events, event)
}

// settings returns the platform's settings file of a process.
func (e *Installation) settings(role string, n int) string {
	var b strings.Builder
	part := map[string]int{"entry": 1, "agent": 2}[role]
	ip := e.ip(part, n+1)
	seeds := make([]string, min(e.Entries, 3))
	for i := range seeds {
		seeds[i] = fmt.Sprintf("%q", address(e.ip(1, i+1), portControl))
	}
	fmt.Fprintf(&b, "NodeName = %q\nRole = %q\nIp = %q\nZone = \"z\"\nInternalPorts = [%d,%d]\nSeedNodes = [%s]\n",
		fmt.Sprintf("%s-%d", role, n), role, ip, portInternal, portInternal+internalPorts, strings.Join(seeds, ","))
	if role == "agent" {
		fmt.Fprintf(&b, "app = %q\nService = %q\n", address(ip, portApp), service)
	}
	fmt.Fprintf(&b, "[ListenAddrs]\n")
	if role == "entry" {
		fmt.Fprintf(&b, "Frontend = %q\nReadiness = %q\n", address(ip, portFront), address(ip, portReady))
	}
	fmt.Fprintf(&b, "ControlPlane = %q\n[Limits]\nCpuQuota = 0.5\nMemoryMb = 256\nLinkMbps = 1000.0\n", address(ip, portControl))
	fmt.Fprintf(&b, "[Bounds]\nGraceS = %g\nMaxHoldMs = 6000\nstatus_s = 120\nHarmMs = 4000\n", e.Grace.Seconds())
	fmt.Fprintf(&b, "[platform]\nAddress = %q\nform = \"log\"\n", address(e.ip(0, 1), portStore))
	return b.String()
}

func (e *Installation) ip(part, n int) string { return fmt.Sprintf("127.%d.%d.%d", e.Subnet, part, n) }

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func serve(ctx context.Context, h http.Handler, at string) error {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return eris.Wrap(err, "estate: cannot listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyLimit}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return nil
}
