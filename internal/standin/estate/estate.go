// Package estate runs a small installation on a fake platform. The store and the endpoints run in this process; the entries and
// agents are separate processes that listen on loopback addresses.
package estate

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/launcher"
	"bamboohook/internal/standin/instance"
	"bamboohook/internal/standin/metastore"
)

const (
	portStore         = 28001
	portEndpoint      = 28002
	portControl       = 28003
	portFrontend      = 28004
	portReadiness     = 28005
	portInternal      = 28010
	internalPortCount = 6
	// RouteService is the service that runs the jobs. The configuration routes routeHost and routePrefix to it.
	RouteService = "workers"
	routeHost    = "jobs.example"
	routePrefix  = "/batch/"
	// VMMilliProcessors is the capacity of each VM.
	VMMilliProcessors = 8000
	vmMemoryMB        = 16000
	// taskMemoryMB is the declared memory of each submitted task.
	taskMemoryMB = 50
	// callTimeout is the timeout of a caller's request.
	callTimeout       = 4 * time.Second
	readyTimeout      = 10 * time.Second
	readyPollInterval = 20 * time.Millisecond
	defaultConfigTime = 2 * time.Second
	// topicOperator is the topic of the store in which operators publish.
	topicOperator = "keyed.op"
	// Defaults of the fields of Installation.
	defaultMemoryMB     = 256
	defaultMaxBodyBytes = 65536
)

// Ports of the processes. Entries listen at PortCallers, PortReadiness, PortPeers and PortMetrics, agents at PortHeartbeats, PortPeers and
// PortMetrics.
const (
	PortCallers    = portFrontend
	PortReadiness  = portReadiness
	PortHeartbeats = portControl
	PortPeers      = portInternal
	PortMetrics    = portInternal + 1
)

var (
	memorySetting = regexp.MustCompile(`MemoryMb = \d+`)
	// roleGroups are the groups of IP addresses by role.
	roleGroups = map[string]int{"entry": 1, "agent": 2}
)

// Installation is a set of entries and VMs on a fake platform. Set the other exported fields before Start, which sets Store and
// Instances.
type Installation struct {
	// ProgramDir contains the program bamboohook. OutputDir receives the settings files and the output of the processes.
	ProgramDir string
	OutputDir  string
	// Subnet is the second byte of all IP addresses. Installations that run at the same time need different values.
	Subnet  int
	Entries int
	VMs     int
	// EntryMbps is the bandwidth of the entries' network links in Mbit/s, and EntryProcessors the number of their processors, as far as their settings
	// tell. 0 means 1,000 Mbit/s and 0.5 processors.
	EntryMbps       float64
	EntryProcessors float64
	// ConfigTime is the time after its acknowledgement from which on a configuration must be in use. 0 means 2 s.
	ConfigTime time.Duration
	// DataCentres is the number of data centres, which the VMs are in by turns. 0 means 1. EvacuationTime is the time after its acknowledgement from which on
	// the evacuation of one must be in effect; 0 leaves the setting out.
	DataCentres    int
	EvacuationTime time.Duration
	// RemoteFactor is the factor by which tasks take longer off their preferred rack, as far as the settings tell. 0 means that they do not tell it.
	RemoteFactor float64
	// Grace is the time that the platform leaves a process between SIGTERM and SIGKILL.
	Grace time.Duration
	// MemoryMB and MaxDescriptors are the limits of each process according to its settings. 0 means 256 MB, and no limit for descriptors.
	MemoryMB       int
	MaxDescriptors int
	// MaxBodyBytes is the largest body of a submission according to the configuration. 0 means 65,536.
	MaxBodyBytes int

	Store     *metastore.Metastore
	Instances []*instance.Instance

	launcher launcher.Launcher
	mutex    sync.Mutex
	events   []instance.Event
	version  int
}

// Start starts all servers and processes and returns when all entries are ready. The servers stop when ctx is done; Stop ends
// the processes.
func (i *Installation) Start(ctx context.Context) error {
	i.launcher = launcher.Launcher{ProgramDir: i.ProgramDir, OutputDir: i.OutputDir}
	i.Store = &metastore.Metastore{Delay: time.Millisecond}
	if err := serve(ctx, i.Store.Handler(), address(i.ip(0, 1), portStore)); err != nil {
		return err
	}
	for n := range i.Entries {
		if err := serve(ctx, i.Store.Handler(), address(i.EntryStoreIP(n), portStore)); err != nil {
			return err
		}
	}
	i.PublishConfiguration(RouteService)
	for n := range i.VMs {
		ip := i.ip(2, n+1)
		e := &instance.Instance{
			ID: fmt.Sprintf("i-%d", n), Service: RouteService, Zone: i.DataCentre(n), Rack: fmt.Sprintf("r%d", n/3), Address: address(ip, portEndpoint),
			AgentAddress: address(ip, portControl), MilliProcessors: VMMilliProcessors, MemoryMB: vmMemoryMB, OnEvent: i.recordEvent,
		}
		if err := serve(ctx, e.Handler(), e.Address); err != nil {
			return err
		}
		i.Instances = append(i.Instances, e)
		go func() { _ = e.Run(ctx) }()
		if err := i.StartProcess(AgentName(n)); err != nil {
			return err
		}
	}
	for n := range i.Entries {
		if err := i.StartProcess(EntryName(n)); err != nil {
			return err
		}
	}
	for n := range i.Entries {
		if err := i.WaitReady(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// DataCentre returns the name of the data centre of a VM.
func (i *Installation) DataCentre(vm int) string {
	if i.DataCentres <= 1 {
		return "z"
	}
	return fmt.Sprintf("z%d", vm%i.DataCentres)
}

// Evacuate requests that nothing be started in the data centre, or withdraws the request, and returns the time of its acknowledgement.
func (i *Installation) Evacuate(dataCentre string, requested bool) time.Time {
	if requested {
		i.Store.AppendRecord(topicOperator, "evacuate/"+dataCentre, struct{}{})
	} else {
		i.Store.RemoveKey(topicOperator, "evacuate/"+dataCentre)
	}
	return time.Now()
}

// EntryName returns the process name of an entry.
func EntryName(n int) string { return fmt.Sprintf("entry-%d", n) }

// AgentName returns the process name of an agent.
func AgentName(n int) string { return fmt.Sprintf("agent-%d", n) }

// StartProcess starts the entry or agent with the process name. It may be called again after the process has ended.
func (i *Installation) StartProcess(name string) error {
	role, number, _ := strings.Cut(name, "-")
	var n int
	if _, err := fmt.Sscan(number, &n); err != nil {
		return eris.Wrapf(err, "estate: invalid process name %s", name)
	}
	if err := os.WriteFile(i.settingsFile(name), []byte(i.settings(role, n)), 0o600); err != nil {
		return eris.Wrap(err, "estate: cannot write the settings file")
	}
	_, err := i.launcher.Start(name, "bamboohook", "platform", role, i.settingsFile(name))
	return err
}

// ChangeMemory writes another memory limit to the settings file of a process. The next StartProcess restores the default.
func (i *Installation) ChangeMemory(name string, megabytes int) error {
	content, err := os.ReadFile(i.settingsFile(name))
	if err != nil {
		return eris.Wrap(err, "estate: cannot read the settings file")
	}
	changed := memorySetting.ReplaceAll(content, fmt.Appendf(nil, "MemoryMb = %d", megabytes))
	return eris.Wrap(os.WriteFile(i.settingsFile(name), changed, 0o600), "estate: cannot write the settings file")
}

func (i *Installation) settingsFile(name string) string {
	return filepath.Join(i.OutputDir, name+".toml")
}

// EntryStoreIP returns the IP address at which an entry calls the store. No other process calls it there.
func (i *Installation) EntryStoreIP(n int) string { return i.ip(3, n+1) }

// EntryPeerAddress returns the address at which the entry accepts calls of other processes.
func (i *Installation) EntryPeerAddress(n int) string { return address(i.ip(1, n+1), portInternal) }

// Process returns the process that was last started under the name, or nil if there is none.
func (i *Installation) Process(name string) *launcher.Process { return i.launcher.Process(name) }

// Stop kills all processes.
func (i *Installation) Stop() { i.launcher.Close(0) }

// PublishConfiguration publishes a configuration that routes the jobs to the service. Each of the prefixes gets a route of its own.
func (i *Installation) PublishConfiguration(service string, prefixes ...string) {
	i.mutex.Lock()
	// Versions must increase, but need not be consecutive.
	i.version += 3
	version := i.version
	i.mutex.Unlock()
	var routes []map[string]any
	for n, prefix := range append([]string{routePrefix}, prefixes...) {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprintf("r%d", n), "Host": routeHost, "PathPrefix": prefix, "Kind": "non_idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 250,
			"Priority": 0, "Service": service, "MaxAttempts": 3, "Stretch": 2.0,
		})
	}
	i.Store.AppendRecord(topicOperator, "config", map[string]any{
		"Version":  version,
		"Routes":   routes,
		"Services": []map[string]any{{"Name": service}},
		"Limits":   map[string]any{"MaxBodyBytes": cmp.Or(i.MaxBodyBytes, defaultMaxBodyBytes)},
	})
}

// WaitReady waits until the readiness check of the entry succeeds.
func (i *Installation) WaitReady(ctx context.Context, n int) error {
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(readyCtx, http.MethodGet, "http://"+address(i.ip(1, n+1), portReadiness)+"/v1/readyz", nil)
		if err != nil {
			return eris.Wrap(err, "estate: cannot make a request")
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if readyCtx.Err() != nil {
			return eris.Errorf("estate: entry %d is not ready after %s", n, readyTimeout)
		}
		time.Sleep(readyPollInterval)
	}
}

// Call sends a caller's request about a job to an entry and returns the status code, the header Retry-After and the body of the
// response. A body that is neither nil nor a string is sent as JSON.
func (i *Installation) Call(ctx context.Context, entry int, method, id string, body any) (status int, retryAfter, responseText string, err error) {
	return i.CallPath(ctx, entry, method, routePrefix+id, body)
}

// CallPath is like Call, but takes the path of the request.
func (i *Installation) CallPath(ctx context.Context, entry int, method, path string, body any) (status int, retryAfter, responseText string, err error) {
	var content io.Reader
	switch b := body.(type) {
	case nil:
	case string:
		content = strings.NewReader(b)
	default:
		encoded, err := json.Marshal(b)
		if err != nil {
			return 0, "", "", eris.Wrap(err, "estate: cannot encode the request body")
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address(i.ip(1, entry+1), portFrontend)+path, content)
	if err != nil {
		return 0, "", "", eris.Wrap(err, "estate: cannot make a request")
	}
	request.Host = routeHost
	request.Header.Set("Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", "", eris.Wrap(err, "estate: no response")
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("Retry-After"), string(responseBody), eris.Wrap(err, "estate: incomplete response")
}

// Step is a step of a job.
type Step struct {
	Tasks           int
	MilliProcessors int
	// After lists the indexes of the steps that must be done before this one starts.
	After []int
}

// Submit submits a job through the entry and reports whether it was accepted. Each task takes runTime.
func (i *Installation) Submit(ctx context.Context, entry int, id string, runTime time.Duration, steps ...Step) bool {
	return i.SubmitStatus(ctx, entry, id, runTime, steps...) == http.StatusOK
}

// SubmitStatus is like Submit, but returns the status code of the response, or 0 if there was none.
func (i *Installation) SubmitStatus(ctx context.Context, entry int, id string, runTime time.Duration, steps ...Step) int {
	var encodedSteps []map[string]any
	for _, s := range steps {
		encodedSteps = append(encodedSteps, map[string]any{
			"Count": s.Tasks, "Cpu": s.MilliProcessors, "MemMb": taskMemoryMB, "EstimateMs": runTime.Milliseconds(), "After": s.After,
		})
	}
	body := map[string]any{"Spec": fmt.Sprint(runTime.Milliseconds()), "Steps": encodedSteps}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, _, _, err := i.Call(callCtx, entry, http.MethodPost, id, body)
	if err != nil {
		return 0
	}
	return status
}

// State returns the state of a job according to the entry, or "" if the entry does not return one.
func (i *Installation) State(ctx context.Context, entry int, id string) string {
	state, _ := i.StateStatus(ctx, entry, id)
	return state
}

// StateStatus is like State, but also returns the status code of the response, or 0 if there was none.
func (i *Installation) StateStatus(ctx context.Context, entry int, id string) (state string, status int) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, _, body, err := i.Call(callCtx, entry, http.MethodGet, id, nil)
	var job struct{ State string }
	if err != nil {
		return "", 0
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &job) != nil {
		return "", status
	}
	return job.State, status
}

// Address returns the address of a port of the entry or agent with the process name.
func (i *Installation) Address(name string, port int) (string, error) {
	role, number, _ := strings.Cut(name, "-")
	var n int
	if _, err := fmt.Sscan(number, &n); err != nil {
		return "", eris.Wrapf(err, "estate: invalid process name %s", name)
	}
	return address(i.ip(roleGroups[role], n+1), port), nil
}

// JobsOwner returns the index of the entry that owns the jobs according to the store, or -1 if no entry does.
func (i *Installation) JobsOwner() int {
	value, ok := i.Store.Newest("keyed.jobs", "owner")
	var record struct{ Address string }
	if !ok || json.Unmarshal([]byte(value), &record) != nil {
		return -1
	}
	for n := range i.Entries {
		if record.Address == address(i.ip(1, n+1), portInternal) {
			return n
		}
	}
	return -1
}

// Events returns the starts and ends of runs at all endpoints since Start.
func (i *Installation) Events() []instance.Event {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]instance.Event{}, i.events...)
}

func (i *Installation) recordEvent(event instance.Event) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.events = append(i.events, event)
}

// settings returns the content of the settings file of a process.
func (i *Installation) settings(role string, n int) string {
	var b strings.Builder
	ip := i.ip(roleGroups[role], n+1)
	seeds := make([]string, min(i.Entries, 3))
	for s := range seeds {
		seeds[s] = fmt.Sprintf("%q", address(i.ip(1, s+1), portControl))
	}
	fmt.Fprintf(&b, "NodeName = %q\nRole = %q\nIp = %q\nZone = %q\nInternalPorts = [%d,%d]\nSeedNodes = [%s]\n",
		fmt.Sprintf("%s-%d", role, n), role, ip, i.DataCentre(n), portInternal, portInternal+internalPortCount, strings.Join(seeds, ","))
	if role == "agent" {
		fmt.Fprintf(&b, "app = %q\nService = %q\n", address(ip, portEndpoint), RouteService)
	}
	fmt.Fprintf(&b, "[ListenAddrs]\n")
	if role == "entry" {
		fmt.Fprintf(&b, "Frontend = %q\nReadiness = %q\n", address(ip, portFrontend), address(ip, portReadiness))
	}
	mbps, processors := 1000.0, 0.5
	if role == "entry" {
		mbps, processors = cmp.Or(i.EntryMbps, mbps), cmp.Or(i.EntryProcessors, processors)
	}
	fmt.Fprintf(&b, "ControlPlane = %q\n[Limits]\nCpuQuota = %g\nMemoryMb = %d\nLinkMbps = %g\n", address(ip, portControl), processors,
		cmp.Or(i.MemoryMB, defaultMemoryMB), mbps)
	if i.MaxDescriptors > 0 {
		fmt.Fprintf(&b, "MaxFds = %d\n", i.MaxDescriptors)
	}
	fmt.Fprintf(&b, "[Bounds]\nGraceS = %g\nMaxHoldMs = 6000\nstatus_s = 120\nHarmMs = 4000\nConfigMs = %d\n", i.Grace.Seconds(), cmp.Or(i.ConfigTime, defaultConfigTime).Milliseconds())
	if i.EvacuationTime > 0 {
		fmt.Fprintf(&b, "EvacuationMs = %d\nMaxStretchMs = 6000\n", i.EvacuationTime.Milliseconds())
	}
	if i.RemoteFactor > 0 {
		fmt.Fprintf(&b, "RemoteFactor = %g\n", i.RemoteFactor)
	}
	storeIP := i.ip(0, 1)
	if role == "entry" {
		storeIP = i.EntryStoreIP(n)
	}
	fmt.Fprintf(&b, "[platform]\nAddress = %q\nform = \"log\"\n", address(storeIP, portStore))
	return b.String()
}

// ip returns the loopback address with the number n in a group: 0 for the store, 1 for entries, 2 for agents and
// endpoints, 3 for the store as entries call it.
func (i *Installation) ip(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", i.Subnet, group, n)
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// serve returns when the server listens. The server stops when ctx is done.
func serve(ctx context.Context, h http.Handler, listenAddress string) error {
	l, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return eris.Wrap(err, "estate: cannot listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return nil
}
