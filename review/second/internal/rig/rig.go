package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/standin/estate"
	"bamboohook/internal/standin/metastore"
)

const (
	portApp       = 28002
	portControl   = 28003
	portFrontend  = 28004
	portReadiness = 28005
	portInternal  = 28010
	portStore     = 28001
	// RouteHost is the host of the queue.
	RouteHost = "jobs.example"
	// RoutePrefix is the path prefix of the queue.
	RoutePrefix = "/batch/"
	// Service is the service whose workers run the tasks of the queue.
	Service = "pool"

	clientTimeout = 3 * time.Second
	readyTimeout  = 15 * time.Second
	readyPause    = 50 * time.Millisecond
	graceTime     = 6 * time.Second
	submitPause   = 200 * time.Millisecond
)

// Exit codes of a script.
const (
	ExitHeld = iota
	ExitBroken
	ExitNotRun
)

type (
	// Rig is a small deployment: entries, and side machines with an agent and a worker each. Set the exported fields before Start.
	Rig struct {
		// Program is the program that the deploy file starts.
		Program string
		Entries int
		Record  *Record
		Store   *metastore.Metastore
		Workers []*Worker
		// AdviceAddress is the address of the advice service, if there is one.
		AdviceAddress string

		mutex     sync.Mutex
		folder    string
		subnet    int
		processes map[string]*exec.Cmd
		ended     map[string]chan struct{}
		cancel    context.CancelFunc
		client    *http.Client
		version   int
	}

	// Step is a step of a job under the names of the wire.
	Step map[string]any
)

// Start starts the store, the workers and all processes, and returns when the entries are ready.
func (r *Rig) Start() error {
	var err error
	if r.subnet, err = estate.ReserveSubnet(); err != nil {
		return eris.Wrap(err, "rig: no free addresses")
	}
	if r.folder, err = os.MkdirTemp("", "bamboohook-review-"); err != nil {
		return eris.Wrap(err, "rig: no temporary folder")
	}
	r.stopOnSignal()
	r.processes, r.ended = map[string]*exec.Cmd{}, map[string]chan struct{}{}
	r.client = &http.Client{Timeout: clientTimeout + time.Second}
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	r.Store = &metastore.Metastore{Delay: 4 * time.Millisecond}
	listener, err := net.Listen("tcp", r.StoreAddress())
	if err != nil {
		return eris.Wrap(err, "rig: the store cannot listen")
	}
	server := &http.Server{Handler: r.Store.Handler(), ReadHeaderTimeout: readyTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	r.Publish(map[string]any{})
	for n, w := range r.Workers {
		w.Address, w.AgentAddress, w.Record, w.Service = r.address(2, n, portApp), r.address(2, n, portControl), r.Record, Service
		if err := w.Start(); err != nil {
			return err
		}
		if err := r.StartProcess(AgentName(n)); err != nil {
			return err
		}
	}
	for n := range r.Entries {
		if err := r.StartProcess(EntryName(n)); err != nil {
			return err
		}
	}
	if err := r.waitReady(); err != nil {
		return err
	}
	for name := range r.processes {
		if r.Ended(name, 0) {
			return eris.Errorf("rig: %s has ended", name)
		}
	}
	return nil
}

// stopOnSignal ends all processes when the script is told to end.
func (r *Rig) stopOnSignal() {
	// Without a reader of its output, the script goes on to its end.
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.mutex.Lock()
		defer r.mutex.Unlock()
		for _, cmd := range r.processes {
			_ = cmd.Process.Kill()
		}
		os.Exit(ExitNotRun)
	}()
}

// Stop ends all processes and servers.
func (r *Rig) Stop() {
	for name := range r.processes {
		r.Signal(name, syscall.SIGCONT)
		r.Kill(name)
	}
	for _, w := range r.Workers {
		if w.life != nil {
			w.Crash()
		}
	}
	if r.cancel != nil {
		r.cancel()
	}
	_ = os.RemoveAll(r.folder)
}

// EntryName returns the name of the process of an entry.
func EntryName(n int) string { return fmt.Sprintf("entry-%d", n) }

// AgentName returns the name of the process beside the worker with the number.
func AgentName(n int) string { return fmt.Sprintf("agent-%d", n) }

// StoreAddress returns the address of the store.
func (r *Rig) StoreAddress() string { return r.address(0, 0, portStore) }

// PeerAddress returns the address at which an entry takes calls of other processes.
func (r *Rig) PeerAddress(entry int) string { return r.address(1, entry, portInternal) }

func (r *Rig) address(group, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", r.subnet, group, n+1, port)
}

// Publish writes a configuration with one queue. The fields replace those of its route.
func (r *Rig) Publish(fields map[string]any) {
	r.version += 3
	route := map[string]any{
		"Name": "queue", "Host": RouteHost, "PathPrefix": RoutePrefix, "Kind": "non_idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 1000,
		"Priority": 0, "Service": Service, "MaxAttempts": 3, "Stretch": 2.0,
	}
	for name, value := range fields {
		route[name] = value
	}
	r.Store.AppendRecord("keyed.op", "config", map[string]any{
		"Version": r.version, "Routes": []any{route}, "Services": []any{map[string]any{"Name": Service, "AdmissionCheck": false}},
		"Limits": map[string]any{"MaxBodyBytes": 262144},
	})
}

// StartProcess starts a process with the command of the deploy file.
func (r *Rig) StartProcess(name string) error {
	role, number, _ := strings.Cut(name, "-")
	n := 0
	if _, err := fmt.Sscan(number, &n); err != nil {
		return eris.Wrap(err, "rig: unknown process")
	}
	settings := filepath.Join(r.folder, name+".toml")
	if err := os.WriteFile(settings, []byte(r.settings(role, n)), 0o600); err != nil {
		return eris.Wrap(err, "rig: cannot write settings")
	}
	output, err := os.OpenFile(filepath.Join(r.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "rig: cannot open a log")
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command(r.Program, "platform", role)
	cmd.Env = append(os.Environ(), "BAMBOOHOOK_BOOT="+settings)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "rig: cannot start %s", name)
	}
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); close(ended) }()
	r.mutex.Lock()
	r.processes[name], r.ended[name] = cmd, ended
	r.mutex.Unlock()
	r.Record.Printf("process %s starts", name)
	return nil
}

// Signal sends a signal to a process.
func (r *Rig) Signal(name string, signal syscall.Signal) {
	select {
	case <-r.ended[name]:
	default:
		_ = r.processes[name].Process.Signal(signal)
		r.Record.Printf("process %s gets the signal %s", name, signal)
	}
}

// Kill ends a process and waits for its end.
func (r *Rig) Kill(name string) {
	r.Signal(name, syscall.SIGKILL)
	<-r.ended[name]
}

// Ended waits until a process has ended, for at most the time, and reports whether it has.
func (r *Rig) Ended(name string, timeout time.Duration) bool {
	select {
	case <-r.ended[name]:
		return true
	case <-time.After(max(timeout, time.Millisecond)):
		return false
	}
}

// Log returns what a process has written.
func (r *Rig) Log(name string) string {
	text, _ := os.ReadFile(filepath.Join(r.folder, name+".log"))
	return string(text)
}

// Owner returns the number of the entry that owns the jobs, or -1.
func (r *Rig) Owner() int {
	value, ok := r.Store.Newest("keyed.jobs", "owner")
	for n := range r.Entries {
		if ok && strings.Contains(value, `"`+r.PeerAddress(n)+`"`) {
			return n
		}
	}
	return -1
}

// Call sends a client's request to an entry. The status is 0 if there was no answer.
func (r *Rig) Call(entry int, method, id string, body any) (int, string) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		content = strings.NewReader(string(encoded))
	}
	request, err := http.NewRequest(method, "http://"+r.address(1, entry, portFrontend)+RoutePrefix+id, content)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = RouteHost
	request.Header.Set("Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	request.Header.Set("Content-Type", "application/json")
	response, err := r.client.Do(request)
	if err != nil {
		r.Record.Printf("client: %s %s at entry-%d has no answer: %v", method, id, entry, err)
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		r.Record.Printf("client: the answer to %s %s at entry-%d breaks off: %v", method, id, entry, err)
		return 0, err.Error()
	}
	r.Record.Printf("client: %s %s at entry-%d is answered with %d %s", method, id, entry, response.StatusCode, strings.TrimSpace(string(text)))
	return response.StatusCode, string(text)
}

// Submit hands a job in, at one entry after the other until one accepts it or the time is over, and reports whether that has happened.
func (r *Rig) Submit(id, spec string, timeout time.Duration, steps ...Step) bool {
	deadline := time.Now().Add(timeout)
	for n := 0; time.Now().Before(deadline); n++ {
		if status, _ := r.Call(n%r.Entries, http.MethodPost, id, map[string]any{"Spec": spec, "Steps": steps}); status == http.StatusOK {
			return true
		}
		time.Sleep(submitPause)
	}
	return false
}

// State returns the state of a job according to an entry, or the empty text.
func (r *Rig) State(entry int, id string) string {
	var job struct{ State string }
	status, text := r.Call(entry, http.MethodGet, id, nil)
	if status != http.StatusOK || json.Unmarshal([]byte(text), &job) != nil {
		return ""
	}
	return job.State
}

// waitReady waits until all entries say that they are ready.
func (r *Rig) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for n := range r.Entries {
		for {
			response, err := r.client.Get("http://" + r.address(1, n, portReadiness) + "/v1/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return eris.Errorf("rig: entry %d does not become ready", n)
			}
			time.Sleep(readyPause)
		}
	}
	return nil
}

// settings returns the settings file of a process.
func (r *Rig) settings(role string, n int) string {
	group, class, quota, memory := 1, "front", 0.4, 284
	if role == "agent" {
		group, class, quota, memory = 2, "side", 0.24, 152
	}
	host, _, _ := net.SplitHostPort(r.address(group, n, portInternal))
	var seeds []string
	for s := range min(r.Entries, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", r.address(1, s, portControl)))
	}
	var b strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	line("NodeName = %q", fmt.Sprintf("%s-z-%d", class, n+1))
	line("Role = %q\nMachineClass = %q\nServes = [%q]\nIp = %q\nZone = \"z\"\nRegion = \"r\"", role, class, class, host)
	line("InternalPorts = [%d,%d]\nSeedNodes = [%s]", portInternal, portInternal+15, strings.Join(seeds, ","))
	line("Bootstrap = true\nDiscovery = \"local\"\nEntry = \"vip\"\nHeartbeatMs = %d\nOrders = \"call\"", heartbeatInterval.Milliseconds())
	if r.AdviceAddress != "" {
		line("Advice = %q", r.AdviceAddress)
	}
	if role == "agent" {
		line("app = %q\nService = %q", r.Workers[n].Address, Service)
	}
	line("[Zones]\nz = \"r\"\n[ListenAddrs]")
	if role == "entry" {
		line("Frontend = %q\nReadiness = %q", r.address(1, n, portFrontend), r.address(1, n, portReadiness))
	}
	line("ControlPlane = %q", r.address(group, n, portControl))
	line("[Limits]\nCpuQuota = %g\nCpuCores = 1\nMemoryMb = %d\nMaxFds = 4096\nLinkMbps = 1000.0\nDiskMb = 0", quota, memory)
	line("[FaultTolerance]\nMachines = 2\nZones = 0\nRegions = 0\n[Bounds]\nContactMs = 3000\nAckMs = 4000\nDrainMs = 2000\nGraceS = %g", graceTime.Seconds())
	line("ConfigMs = 2000\nRollbackSlackMs = 250\nMaxHoldMs = %d\nStopTimeoutMs = 200\nGangTimeoutMs = 3000\ncancel_ms = 3000", maxHold.Milliseconds())
	line("visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nCheckpointIntervalS = 0.5\nRestoreMs = 250\nLeaseMs = 3000\nHarmMs = 4000")
	line("[platform]\nAddress = %q\nform = \"log\"\nWritesPerS = 800\nReadsPerS = 2000\nparts = 16\nAppendMs = 3.0", r.StoreAddress())
	line("RecordBytes = 262144\nRequestBytes = 2097152\nkeep_s = 300\nPartitionMb = 200")
	return b.String()
}
