// Package installation runs the programs of the deploy file on loopback addresses, on stand-ins of the platform's store and of its workers.
package installation

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"bamboohook/internal/standin/metastore"
	"bamboohook/review/third/internal/worker"
)

const (
	host        = "jobs.example"
	service     = "gallery"
	callTimeout = 3500 * time.Millisecond
	readyTime   = 20 * time.Second
	thinLink    = 100
	settings    = `NodeName = %q
Role = %q
MachineClass = %q
Ip = %q
Zone = %q
Region = "kingston"
InternalPorts = [%d,%d]
SeedNodes = [%s]
Bootstrap = true
Discovery = "local"
Entry = "vip"
HeartbeatMs = 1100
Orders = "call"
%s
[ListenAddrs]
%s
[Limits]
CpuQuota = %g
CpuCores = 1
MemoryMb = %d
MaxFds = 4096
LinkMbps = %g
[Bounds]
ContactMs = 3000
GraceS = 6
ConfigMs = 2000
MaxStretchMs = 5000
MaxHoldMs = 6000
StopTimeoutMs = 200
GangTimeoutMs = 3000
status_s = 120
RemoteFactor = 1.5
HarmMs = 4000
[platform]
Address = %q
form = "log"
WritesPerS = 800
ReadsPerS = 2000
parts = 16
AppendMs = 3.0
RecordBytes = 262144
RequestBytes = 2097152
keep_s = 300
PartitionMb = 200
`
)

type (
	// Queue is a route of the configuration. Its path is its name.
	Queue struct {
		Name                  string
		Priority, MaxAttempts int
		Stretch               float64
		TargetLatencyMs       int
	}

	// Installation is a small deployment. Set the exported fields before Start.
	Installation struct {
		Entries, Workers int
		Queues           []Queue
		// Links holds the bandwidths of the entries in Mbit/s as their settings state them, at which they also get the responses of the store. An entry
		// without one has 1,000 Mbit/s, and the store does not limit it. Those below thinLink have fewer processors and less memory.
		Links []float64
		// OneProcessor gives each agent one processor, as the machines of the platform have (CpuCores = 1). Otherwise it has all of this machine.
		OneProcessor bool
		// Program is the path of the program of the deploy file. Record receives a line for each event.
		Program string
		Record  io.Writer

		Store *metastore.Metastore
		// All holds the workers. Start sets it.
		All       []*worker.Worker
		mutex     sync.Mutex
		startedAt time.Time
		events    []worker.Event
		dir       string
		subnet    int
		port      int
		processes map[string]*exec.Cmd
	}
)

// Start starts all stand-ins and processes, and returns when the entries are ready.
func (i *Installation) Start(ctx context.Context) error {
	var err error
	if i.dir, err = os.MkdirTemp("", "review-third-"); err != nil {
		return err
	}
	i.subnet, i.port, i.processes, i.startedAt = 2+rand.IntN(250), 20000+rand.IntN(9000), map[string]*exec.Cmd{}, time.Now()
	i.Store = &metastore.Metastore{Delay: 4 * time.Millisecond}
	if err := serve(ctx, i.Store.Handler(), i.address(0, 1, 9)); err != nil {
		return err
	}
	for n, link := range i.Links {
		if err := serve(ctx, i.Store.Handler(), i.address(3, n+1, 9)); err != nil {
			return err
		}
		i.Store.SetBandwidth(i.ip(3, n+1), int(link*1e6/8))
	}
	i.Publish(3)
	gangs := worker.NewGangs()
	for n := range i.Workers {
		w := &worker.Worker{
			ID: fmt.Sprintf("i-%08x", n+1), Service: service, Zone: i.zone(n), Kind: kind(n), Rack: fmt.Sprintf("r%d", n/3), Address: i.address(2, n+1, 5),
			AgentAddress: i.address(2, n+1, 6), CPU: 64000, MemMb: 256000, Gangs: gangs, OnEvent: i.observe,
		}
		if err := serve(ctx, w.Handler(), w.Address); err != nil {
			return err
		}
		go w.Run(ctx)
		i.All = append(i.All, w)
	}
	for n := range i.Entries {
		if err := i.StartProcess("entry", n); err != nil {
			return err
		}
	}
	for n := range i.Workers {
		if err := i.StartProcess("agent", n); err != nil {
			return err
		}
	}
	for n := range i.Entries {
		if err := i.awaitReady(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// Publish writes a configuration with the version.
func (i *Installation) Publish(version int) {
	var routes []map[string]any
	for _, q := range i.Queues {
		routes = append(routes, map[string]any{
			"Name": q.Name, "Host": host, "PathPrefix": "/" + q.Name + "/", "Kind": "non_idempotent", "TimeoutMs": 3000, "Service": service,
			"Priority": q.Priority, "MaxAttempts": q.MaxAttempts, "Stretch": q.Stretch, "TargetLatencyMs": q.TargetLatencyMs,
		})
	}
	i.Store.AppendRecord("keyed.op", "config", map[string]any{
		"Version": version, "Routes": routes, "Services": []map[string]any{{"Name": service, "AdmissionCheck": false}},
		"Limits": map[string]any{"MaxBodyBytes": 262144},
	})
}

// StartProcess starts an entry or an agent with the command of the deploy file.
func (i *Installation) StartProcess(role string, n int) error {
	name := fmt.Sprintf("%s-%d", role, n)
	group, class, memory, quota, link, store := 1, "front", 284, 0.4, 1000.0, i.address(0, 1, 9)
	var app, listen string
	if role == "agent" {
		group, class, memory, quota = 2, "side", 152, 0.24
		app = fmt.Sprintf("app = %q\nService = %q", i.address(2, n+1, 5), service)
	} else {
		if n < len(i.Links) {
			memory, quota, link, store = 536, 0.8, i.Links[n], i.address(3, n+1, 9)
			if link < thinLink {
				memory, quota = 184, 0.192
			}
		}
		listen = fmt.Sprintf("Frontend = %q\nReadiness = %q\n", i.address(1, n+1, 7), i.address(1, n+1, 8))
	}
	listen += fmt.Sprintf("ControlPlane = %q", i.address(group, n+1, 6))
	var seeds []string
	for s := range min(i.Entries, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", i.address(1, s+1, 6)))
	}
	text := fmt.Sprintf(settings, name, role, class, i.ip(group, n+1), i.zone(n), i.port, i.port+3, strings.Join(seeds, ","), app, listen, quota, memory, link, store)
	file := filepath.Join(i.dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(i.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command(i.Program, "platform", role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "BAMBOOHOOK_BOOT=" + file}
	cmd.Stdout, cmd.Stderr = output, output
	start := cmd.Start
	if i.OneProcessor && role == "agent" {
		start = func() error { return startOnOneProcessor(cmd) }
	}
	if err := start(); err != nil {
		return err
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.processes[name] = cmd
	return nil
}

// Process returns the process that was last started under the name.
func (i *Installation) Process(role string, n int) *os.Process {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.processes[fmt.Sprintf("%s-%d", role, n)].Process
}

// Stop ends all processes and removes the temporary folder, unless KEEP is set in the environment.
func (i *Installation) Stop() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, cmd := range i.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(i.dir)
	} else {
		fmt.Println(i.dir)
	}
}

// Note writes a line to the record.
func (i *Installation) Note(format string, args ...any) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.note(format, args...)
}

func (i *Installation) note(format string, args ...any) {
	_, _ = fmt.Fprintf(i.Record, "%8.3f %s\n", time.Since(i.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (i *Installation) observe(e worker.Event) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.events = append(i.events, e)
	i.note("%s %s run %d: %s", e.Worker, e.Task, e.Run, e.Kind)
}

// Events returns the starts and ends of runs so far.
func (i *Installation) Events() []worker.Event {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]worker.Event(nil), i.events...)
}

// Call sends a client's request to an entry. The status is 0 if there is no answer.
func (i *Installation) Call(ctx context.Context, entry int, method, queue, id string, body any) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, ""
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+i.address(1, entry+1, 7)+"/"+queue+"/"+id, content)
	if err != nil {
		return 0, ""
	}
	request.Host = host
	request.Header.Set("Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		i.Note("%s %s/%s at entry %d: no answer", method, queue, id, entry)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	i.Note("%s %s/%s at entry %d: %d %s", method, queue, id, entry, response.StatusCode, strings.TrimSpace(string(text)))
	return response.StatusCode, string(text)
}

// Submit hands a job in, with up to 4 retries at other entries, and reports whether it was accepted.
func (i *Installation) Submit(ctx context.Context, entry int, queue, id string, body any) bool {
	for attempt := range 5 {
		if status, _ := i.Call(ctx, (entry+attempt)%i.Entries, http.MethodPost, queue, id, body); status/100 == 2 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// State returns the state of a job that an entry shows, or "".
func (i *Installation) State(ctx context.Context, entry int, queue, id string) string {
	status, text := i.Call(ctx, entry, http.MethodGet, queue, id, nil)
	var job struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(text), &job) != nil {
		return ""
	}
	return job.State
}

func (i *Installation) awaitReady(ctx context.Context, n int) error {
	for until := time.Now().Add(readyTime); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + i.address(1, n+1, 8) + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("installation: entry %d is not ready", n)
}

func (*Installation) zone(n int) string { return []string{"kgn-a", "kgn-b", "kgn-c"}[n%3] }

// kind returns the kind of a worker. The last of eleven is the only one of its kind.
func kind(n int) string {
	if n == 10 {
		return "b"
	}
	return "a"
}

func (i *Installation) ip(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", i.subnet, group, n)
}

func (i *Installation) address(group, n, port int) string {
	return fmt.Sprintf("%s:%d", i.ip(group, n), i.port+port)
}

func serve(ctx context.Context, h http.Handler, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTime}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return nil
}
