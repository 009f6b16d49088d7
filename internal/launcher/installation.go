package launcher

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// Ports are below the usual range of ephemeral ports, so that outgoing connections never take them.
	portCaller   = 21000
	portPeer     = 21001
	portOperator = 21002
	portRequest  = 21003
	portAnnounce = 21004
	portWorker   = 21005
	portEndpoint = 21006
	portLog      = 21007
	portReserved = 21008
	networks     = 250

	vmsInRack       = 3
	startPatience   = 15 * time.Second
	dataCentreCount = 3
)

type (
	// Installation is a log service, VMs and entries. Each VM and entry has an IP address of its own in the
	// loopback network, which the installation reserves, so that several can run at once.
	Installation struct {
		*Launcher
		// VMs and Entries count the processes. Set them before Start.
		VMs     int
		Entries int
		// Services lists the services of each endpoint in the notation of the endpoint stand-in.
		Services []string
		// WorkerArgs are passed to each worker stand-in.
		WorkerArgs []string
		// EntrySettings and AgentSettings are further lines of the settings files.
		EntrySettings string
		AgentSettings string

		network  int
		reserved net.Listener
	}
)

// ReserveNetwork reserves a network that no other installation uses. It is called before any other method; Release ends it.
func (i *Installation) ReserveNetwork() error {
	for n := range networks {
		network := 1 + (os.Getpid()+n)%networks
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", network, portReserved))
		if err != nil {
			continue
		}
		i.network, i.reserved = network, l
		// A test program that was killed leaves its processes, but not its reservation.
		if unused, err := net.Listen("tcp", i.LogAddress()); err == nil {
			return unused.Close()
		}
		_ = l.Close()
	}
	return eris.New("launcher: all loopback networks are in use")
}

// Release ends all processes within the patience and gives the network back.
func (i *Installation) Release(patience time.Duration) {
	i.Close(patience)
	_ = i.reserved.Close()
}

// StartAll starts the log service, all VMs and all entries and waits until the entries are ready.
func (i *Installation) StartAll() error {
	if err := i.StartLogService(); err != nil {
		return err
	}
	for n := range i.Entries {
		if _, err := i.StartEntry(n); err != nil {
			return err
		}
	}
	for n := range i.VMs {
		if err := i.StartVM(n); err != nil {
			return err
		}
	}
	for n := range i.Entries {
		if err := Await(i.EntryName(n)+" becoming ready", startPatience, func() bool {
			status, _ := Get(i.EntryOperatorAddress(n), "/readyz")
			return status == 200
		}); err != nil {
			return err
		}
	}
	return nil
}

// StartLogService starts the log service stand-in.
func (i *Installation) StartLogService(args ...string) error {
	_, err := i.Start("log", "bamboohook-standin", append([]string{"log", "--address=" + i.LogAddress()}, args...)...)
	return err
}

// StartVM starts worker, endpoint and agent of the VM n.
func (i *Installation) StartVM(n int) error {
	if _, err := i.StartWorker(n); err != nil {
		return err
	}
	if _, err := i.StartEndpoint(n); err != nil {
		return err
	}
	_, err := i.StartAgent(n)
	return err
}

// StartWorker starts the worker stand-in of the VM n.
func (i *Installation) StartWorker(n int, args ...string) (*Process, error) {
	args = append([]string{"worker", "--address=" + i.WorkerAddress(n)}, args...)
	return i.Start(i.VMName(n)+"-worker", "bamboohook-standin", append(args, i.WorkerArgs...)...)
}

// StartEndpoint starts the endpoint stand-in of the VM n.
func (i *Installation) StartEndpoint(n int, args ...string) (*Process, error) {
	args = append([]string{
		"endpoint", "--address=" + i.EndpointAddress(n), "--agent=" + i.vm(n, portAnnounce), fmt.Sprintf("--seed=%d", n+1),
	}, args...)
	for _, s := range i.Services {
		args = append(args, "--service="+s)
	}
	return i.Start(i.VMName(n)+"-endpoint", "bamboohook-standin", args...)
}

// StartAgent starts the agent of the VM n.
func (i *Installation) StartAgent(n int) (*Process, error) {
	file, err := i.write(i.VMName(n)+".ini", fmt.Sprintf(`[agent]
name = %s
region = region-1
data-centre = %s
rack = rack-%d
peer-address = %s
request-address = %s
announce-address = %s
operator-address = %s
worker-address = %s
entries = %s
%s`, i.VMName(n), i.DataCentre(n), n/vmsInRack, i.vm(n, portPeer), i.vm(n, portRequest), i.vm(n, portAnnounce),
		i.AgentOperatorAddress(n), i.WorkerAddress(n), i.seeds(), i.AgentSettings))
	if err != nil {
		return nil, err
	}
	return i.Start(i.VMName(n), "bamboohook", "agent", file)
}

// StartEntry starts the entry n.
func (i *Installation) StartEntry(n int) (*Process, error) {
	file, err := i.write(i.EntryName(n)+".ini", fmt.Sprintf(`[entry]
name = %s
region = region-1
data-centre = %s
caller-address = %s
peer-address = %s
operator-address = %s
log-address = %s
entries = %s
%s`, i.EntryName(n), i.DataCentre(n), i.EntryCallerAddress(n), i.entry(n, portPeer), i.EntryOperatorAddress(n), i.LogAddress(), i.seeds(), i.EntrySettings))
	if err != nil {
		return nil, err
	}
	return i.Start(i.EntryName(n), "bamboohook", "entry", file)
}

// WriteInventory writes an inventory file with all VMs and the rules, and returns its path.
func (i *Installation) WriteInventory(rules string) (string, error) {
	var services []string
	for _, s := range i.Services {
		name, _, _ := strings.Cut(s, "=")
		services = append(services, name)
	}
	var b strings.Builder
	for n := range i.VMs {
		fmt.Fprintf(&b, "[vm.%s]\ndata-centre = %s\nrack = rack-%d\nprocessors = 64\nmemory = 250GB\nslots = 8\nconnections = 64\nservices = %s\n",
			i.VMName(n), i.DataCentre(n), n/vmsInRack, strings.Join(services, ", "))
	}
	b.WriteString(rules)
	return i.write("inventory.ini", b.String())
}

// VMName returns the name of the VM n.
func (*Installation) VMName(n int) string { return fmt.Sprintf("vm-%d", n+1) }

// EntryName returns the name of the entry n.
func (*Installation) EntryName(n int) string { return fmt.Sprintf("entry-%d", n+1) }

// DataCentre returns the data centre of the VM or entry n.
func (*Installation) DataCentre(n int) string { return fmt.Sprintf("centre-%c", 'a'+n%dataCentreCount) }

// LogAddress returns the address of the log service.
func (i *Installation) LogAddress() string { return fmt.Sprintf("127.%d.0.1:%d", i.network, portLog) }

// EntryCallerAddress returns the address of the callers' port of the entry n.
func (i *Installation) EntryCallerAddress(n int) string { return i.entry(n, portCaller) }

// EntryOperatorAddress returns the address of the operators' port of the entry n.
func (i *Installation) EntryOperatorAddress(n int) string { return i.entry(n, portOperator) }

// AgentOperatorAddress returns the address of the operators' port of the agent n.
func (i *Installation) AgentOperatorAddress(n int) string { return i.vm(n, portOperator) }

// WorkerAddress returns the address of the worker interface of the VM n.
func (i *Installation) WorkerAddress(n int) string { return i.vm(n, portWorker) }

// EndpointAddress returns the address of the endpoint of the VM n.
func (i *Installation) EndpointAddress(n int) string { return i.vm(n, portEndpoint) }

func (i *Installation) entry(n, port int) string {
	return fmt.Sprintf("127.%d.1.%d:%d", i.network, n+1, port)
}

func (i *Installation) vm(n, port int) string {
	return fmt.Sprintf("127.%d.2.%d:%d", i.network, n+1, port)
}

func (i *Installation) seeds() string {
	var all []string
	for n := range i.Entries {
		all = append(all, i.entry(n, portPeer))
	}
	return strings.Join(all, ", ")
}

func (i *Installation) write(name, content string) (string, error) {
	file := filepath.Join(i.OutputDir, name)
	return file, eris.Wrap(os.WriteFile(file, []byte(content), 0o600), "launcher: cannot write settings")
}
