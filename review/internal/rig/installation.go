// Package rig runs a small deployment for the cases of the review: the processes of the project, started with the commands of the deploy
// file, and fakes of the platform's store, its workers, its advice service and its clients. All addresses are loopback addresses.
package rig

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	portStore         = 8169
	portWorker        = 8165
	portControl       = 8166
	portReadiness     = 8167
	portFrontend      = 8161
	portInternal      = 7720
	internalPortCount = 16
	firstSubnet       = 20
	subnetCount       = 200
	rackSize          = 3
	// maxWorkerConnections is MaxConnections in the configuration of the service. A worker accepts no more connections at a time.
	maxWorkerConnections = 64
	readyTimeout         = 15 * time.Second
	pollInterval         = 20 * time.Millisecond
	// gracePeriod is the time between SIGTERM and SIGKILL.
	gracePeriod = 6 * time.Second
	// Service is the service that runs the tasks.
	Service = "facegallery"
	// Host is the host of all routes.
	Host = "gallery.example"
	// PreviewPath is the path of the queue of short jobs.
	PreviewPath = "/preview/"
	// BuildPath is the path of the queue of builds.
	BuildPath = "/build/"
	// IndexPath is the path of the queue of tasks that last.
	IndexPath = "/index/"
)

type (
	// Installation is a deployment. Set the exported fields before Start.
	Installation struct {
		// Commands holds the command line of each role: "entry" and "agent".
		Commands map[string]string
		// Folder receives the settings files and the logs of the processes.
		Folder  string
		Record  *Record
		Entries int
		Workers int
		// Advisor is the advice service of the queue with the path AdvisedPath, or nil.
		Advisor     *Advisor
		AdvisedPath string

		// Store and WorkerFakes are set by Start. StartWorker adds to WorkerFakes.
		Store       *Store
		WorkerFakes []*Worker

		subnet    int
		processes map[string]*exec.Cmd
		ctx       context.Context
	}

	// route is a route of the operator's configuration.
	route struct {
		Name, Host, PathPrefix, Kind string
		TimeoutMs, TargetLatencyMs   int
		Priority                     int
		Service                      string
		MaxAttempts                  int
		Stretch                      float64
		Advice                       map[string]int64 `json:",omitempty"`
	}
)

// Start starts all fakes and processes, and returns when all entries are ready.
func (i *Installation) Start(ctx context.Context) error {
	i.ctx, i.processes, i.Store = ctx, map[string]*exec.Cmd{}, &Store{}
	refusals := map[string]bool{}
	i.Store.OnRefusal = func(status int, reason string) {
		if !refusals[reason] {
			refusals[reason] = true
			i.Record.Printf("store: first refusal of an append with status %d: %s", status, reason)
		}
	}
	if err := i.serveStore(ctx); err != nil {
		return err
	}
	if i.Advisor != nil {
		if err := serve(ctx, i.Advisor.Handler(), i.address(0, 2, portStore), 0); err != nil {
			return err
		}
	}
	i.publishConfiguration()
	for n := range i.Workers {
		if err := i.StartWorker(n); err != nil {
			return err
		}
	}
	for n := range i.Entries {
		if err := i.StartEntry(n); err != nil {
			return err
		}
	}
	return i.WaitReady(ctx)
}

// StartEntry starts the process of an entry, also again after it has ended.
func (i *Installation) StartEntry(n int) error { return i.startProcess("entry", n) }

// StartWorker starts a worker and the agent beside it.
func (i *Installation) StartWorker(n int) error {
	w := &Worker{
		ID: WorkerID(n), Service: Service, Zone: zone(n), Rack: fmt.Sprintf("r1-%d", n/rackSize), Address: i.address(2, n+1, portWorker),
		HeartbeatAddress: i.address(2, n+1, portControl), MilliCores: 64000, MemoryMB: 256000, OnEvent: i.Record.Event,
	}
	go w.Run(i.ctx)
	for ready := false; !ready; time.Sleep(endInterval) {
		w.mutex.Lock()
		ready = !w.born.IsZero()
		w.mutex.Unlock()
	}
	if err := serve(i.ctx, w.Handler(), w.Address, maxWorkerConnections); err != nil {
		return err
	}
	i.WorkerFakes = append(i.WorkerFakes, w)
	return i.startProcess("agent", n)
}

// KillEntry sends SIGKILL to the process of an entry and waits for its end.
func (i *Installation) KillEntry(n int) {
	c := i.processes[processName("entry", n)]
	_ = c.Process.Kill()
	_ = c.Wait()
}

// PauseEntry stops the process of an entry for some time, without ending it.
func (i *Installation) PauseEntry(n int, duration time.Duration) {
	process := i.processes[processName("entry", n)].Process
	_ = process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	_ = process.Signal(syscall.SIGCONT)
}

// Owner returns the number of the entry that owns the jobs according to the store, and false if there is none.
func (i *Installation) Owner() (int, bool) {
	value, _ := i.Store.Value("keyed.jobs", "owner")
	for n := range i.Entries {
		if bytes.Contains(value, fmt.Appendf(nil, "%q", i.address(1, n+1, portInternal))) {
			return n, true
		}
	}
	return 0, false
}

// Stop ends all processes.
func (i *Installation) Stop() {
	for _, c := range i.processes {
		_ = c.Process.Signal(syscall.SIGTERM)
	}
	timer := time.AfterFunc(gracePeriod, func() {
		for _, c := range i.processes {
			_ = c.Process.Kill()
		}
	})
	defer timer.Stop()
	for _, c := range i.processes {
		_ = c.Wait()
	}
}

// WaitReady waits until the readiness checks of all entries succeed.
func (i *Installation) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for n := range i.Entries {
		for !i.isReady(ctx, n) {
			if ctx.Err() != nil {
				return fmt.Errorf("entry %d is not ready after %s", n, readyTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func (i *Installation) isReady(ctx context.Context, n int) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.address(1, n+1, portReadiness)+"/v1/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// serveStore starts the store on a subnet of the loopback range in which its port is free.
func (i *Installation) serveStore(ctx context.Context) error {
	first := rand.IntN(subnetCount)
	var err error
	for n := range subnetCount {
		i.subnet = firstSubnet + (first+n)%subnetCount
		if err = i.checkPorts(); err != nil {
			continue
		}
		if err = serve(ctx, i.Store.Handler(), i.address(0, 1, portStore), 0); err == nil {
			return nil
		}
	}
	return err
}

// checkPorts returns an error if a port of a process is in use on the subnet.
func (i *Installation) checkPorts() error {
	for n := range max(i.Entries, i.Workers) {
		for _, address := range []string{
			i.address(1, n+1, portInternal), i.address(1, n+1, portInternal+1), i.address(1, n+1, portFrontend), i.address(1, n+1, portReadiness),
			i.address(2, n+1, portInternal), i.address(2, n+1, portInternal+1), i.address(2, n+1, portControl), i.address(2, n+1, portWorker),
		} {
			l, err := net.Listen("tcp", address)
			if err != nil {
				return err
			}
			_ = l.Close()
		}
	}
	return nil
}

// publishConfiguration publishes the routes: one for short tasks, one for builds, and one for tasks that last.
func (i *Installation) publishConfiguration() {
	routes := []route{
		{Name: "r-preview", PathPrefix: PreviewPath, TargetLatencyMs: 250, MaxAttempts: 2, Stretch: 1.5},
		{Name: "r-build", PathPrefix: BuildPath, TargetLatencyMs: 1000, Priority: 2, MaxAttempts: 3, Stretch: 2},
		{Name: "r-index", PathPrefix: IndexPath, TargetLatencyMs: 2500, MaxAttempts: 3, Stretch: 2.2},
	}
	for n := range routes {
		routes[n].Host, routes[n].Kind, routes[n].TimeoutMs, routes[n].Service = Host, "non_idempotent", 3000, Service
	}
	if n := slices.IndexFunc(routes, func(r route) bool { return r.PathPrefix == i.AdvisedPath }); i.Advisor != nil && n >= 0 {
		a := i.Advisor
		routes[n].Advice = map[string]int64{"DecisionMs": a.Decision.Milliseconds(), "PerWorkerMs": a.PerWorker.Milliseconds(), "ValidMs": a.Valid.Milliseconds()}
	}
	i.Store.Publish("keyed.op", "config", map[string]any{
		"Version": 7, "Routes": routes,
		"Services": []map[string]any{{
			"Name": Service, "HealthPath": "/healthz", "MaxConnections": maxWorkerConnections, "Protocol": "h1", "Tls": false, "AdmissionCheck": false, "Standby": false,
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// startProcess writes the settings file of a process and starts it with the command of its role.
func (i *Installation) startProcess(role string, n int) error {
	name := processName(role, n)
	file := filepath.Join(i.Folder, name+".toml")
	if err := os.WriteFile(file, []byte(i.settings(role, n)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	words := strings.Fields(i.Commands[role])
	c := exec.Command(words[0], words[1:]...)
	c.Env = append(os.Environ(), "BAMBOOHOOK_BOOT="+file)
	c.Stdout, c.Stderr = log, log
	i.processes[name] = c
	return c.Start()
}

// settings returns the settings file of a process, with the fields and figures of the platform's example.
func (i *Installation) settings(role string, n int) string {
	var b strings.Builder
	group, class, limits := 1, "front", "CpuQuota = 0.4\nCpuCores = 1\nMemoryMb = 284\nMaxFds = 4100\n"
	if role == "agent" {
		group, class, limits = 2, "side", "CpuQuota = 0.24\nCpuCores = 1\nMemoryMb = 152\nMaxFds = 4096\n"
	}
	var seeds []string
	for s := range i.Entries {
		seeds = append(seeds, fmt.Sprintf("%q", i.address(1, s+1, portControl)))
	}
	fmt.Fprintf(&b, "NodeName = \"%s-%s-%d\"\nRole = %q\nMachineClass = %q\nIp = %q\nZone = %q\nRegion = \"kingston\"\nInternalPorts = [%d,%d]\nSeedNodes = [%s]\n",
		class, zone(n), n, role, class, i.ip(group, n+1), zone(n), portInternal, portInternal+internalPortCount-1, strings.Join(seeds, ","))
	fmt.Fprintf(&b, "Bootstrap = true\nDiscovery = \"local\"\nEntry = \"vip\"\nHeartbeatMs = 1100\nOrders = \"call\"\nAdvice = %q\n", i.address(0, 2, portStore))
	if role == "agent" {
		fmt.Fprintf(&b, "app = %q\nService = %q\n[ListenAddrs]\n", i.address(group, n+1, portWorker), Service)
	} else {
		fmt.Fprintf(&b, "[ListenAddrs]\nFrontend = %q\nReadiness = %q\n", i.address(group, n+1, portFrontend), i.address(group, n+1, portReadiness))
	}
	fmt.Fprintf(&b, "ControlPlane = %q\n[Limits]\n%sLinkMbps = 1000.0\nDiskMb = 0\n", i.address(group, n+1, portControl), limits)
	b.WriteString("[Bounds]\nContactMs = 3000\nAckMs = 4000\nDrainMs = 2000\nGraceS = 6\nConfigMs = 2000\nRecoveryS = 12\nMaxHoldMs = 6000\n" +
		"StopTimeoutMs = 200\nGangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n" +
		"CheckpointIntervalS = 0.5\nRestoreMs = 250\nNoticeMs = 4500\nLeaseMs = 3000\nPaceMs = 100\nHarmMs = 4000\n")
	fmt.Fprintf(&b, "[platform]\nAddress = %q\nform = \"log\"\nWritesPerS = 800\nReadsPerS = 2000\nparts = 16\nAppendMs = 3.0\nPartitionMbS = 20.0\n"+
		"ReadMbS = 80.0\nRecordBytes = %d\nRequestBytes = %d\nkeep_s = 300\nPartitionMb = 200\nMinTtlMs = 1000\n", i.address(0, 1, portStore), recordBytes, requestBytes)
	return b.String()
}

func (i *Installation) ip(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", i.subnet, group, n)
}

func (i *Installation) address(group, n, port int) string {
	return fmt.Sprintf("%s:%d", i.ip(group, n), port)
}

// WorkerID returns the ID of a worker.
func WorkerID(n int) string { return fmt.Sprintf("i-%08x", n+1) }

func processName(role string, n int) string { return fmt.Sprintf("%s-%d", role, n) }

func zone(n int) string { return "kgn-" + string(rune('a'+n%rackSize)) }

// limitedListener accepts a limited number of connections at a time. Further ones wait in the queue of the system.
type limitedListener struct {
	net.Listener
	free chan struct{}
}

// limitedConnection frees its place when it is closed.
type limitedConnection struct {
	net.Conn
	release func()
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	l.free <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return limitedConnection{conn, sync.OnceFunc(func() { <-l.free })}, nil
}

// Close implements net.Conn.
func (c limitedConnection) Close() error {
	c.release()
	return c.Conn.Close()
}

// serve returns when the server listens. It ends when ctx is done. If maxConnections is not 0, it accepts no more connections at a time.
func serve(ctx context.Context, h http.Handler, address string, maxConnections int) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if maxConnections > 0 {
		l = limitedListener{l, make(chan struct{}, maxConnections)}
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return nil
}
