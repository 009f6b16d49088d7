package launcher

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// The ports on which the processes listen are below the usual range of ephemeral ports, so that outgoing connections don't use
	// them. portReservation is the port of the listener that reserves a loopback network.
	portCaller      = 21000
	portPeer        = 21001
	portOperator    = 21002
	portRequest     = 21003
	portAnnounce    = 21004
	portWorker      = 21005
	portEndpoint    = 21006
	portLog         = 21007
	portReservation = 21008
	networkCount    = 250

	vmsPerRack      = 3
	readyTimeout    = 15 * time.Second
	dataCentreCount = 3
	// probeTimeout bounds the check whether a port is in use. The address is on this machine.
	probeTimeout = time.Second
)

type (
	// Installation consists of a log service, VMs and entries. Each installation reserves a loopback network 127.x.0.0/16, in which
	// each VM and entry has its own IP address, so that several installations can run at once. The methods number VMs and
	// entries from 0, but their names start at 1: VM 0 has the name vm-1.
	Installation struct {
		*Launcher
		// VMs is the number of VMs, and Entries that of entries. Set them before starting processes.
		VMs     int
		Entries int
		// Services lists the services of each endpoint. An item is passed to the endpoint stand-in as its flag --service; it begins
		// with the name of the service, which "=" and the latency may follow.
		Services []string
		// WorkerArgs holds additional command-line arguments for each worker stand-in.
		WorkerArgs []string
		// EntrySettings and AgentSettings hold additional lines for the settings files of all entries and of all agents.
		EntrySettings string
		AgentSettings string

		// network is the second byte of all IP addresses of the installation. The open listener reservation keeps other installations
		// from using the network.
		network     int
		reservation net.Listener
	}
)

// ReserveNetwork reserves a loopback network that no other installation uses. Call it before any other method. Call Release
// when the installation is no longer needed.
func (i *Installation) ReserveNetwork() error {
	for n := range networkCount {
		network := 1 + (os.Getpid()+n)%networkCount
		reservation, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", network, portReservation))
		if err != nil {
			continue
		}
		i.network, i.reservation = network, reservation
		// A test program that is killed loses its reservation, but the processes that it has started continue to use the network.
		// So the network is free only if nothing listens on the port of the log service. A listener would not tell that without harm: processes
		// that are started meanwhile have copies of it until they run their program, and the log service could not listen.
		conn, err := net.DialTimeout("tcp", i.LogAddress(), probeTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil
		}
		if err == nil {
			_ = conn.Close()
		}
		_ = reservation.Close()
	}
	return eris.New("launcher: all loopback networks are in use")
}

// Release ends all processes, with SIGKILL if they still run after the timeout, and releases the reserved network.
func (i *Installation) Release(timeout time.Duration) {
	i.Close(timeout)
	_ = i.reservation.Close()
}

// StartAll starts the log service, all entries and all VMs, and waits until all entries are ready.
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
		if err := Await(i.EntryName(n)+" becoming ready", readyTimeout, func() bool {
			status, _ := Get(i.EntryOperatorAddress(n), "/readyz")
			return status == 200
		}); err != nil {
			return err
		}
	}
	return nil
}

// StartLogService starts the stand-in for the log service, with args as additional command-line arguments.
func (i *Installation) StartLogService(args ...string) error {
	_, err := i.Start("log", "bamboohook-standin", append([]string{"log", "--address=" + i.LogAddress()}, args...)...)
	return err
}

// StartVM starts the processes of the VM n: the worker stand-in, the endpoint stand-in and the agent.
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

// StartWorker starts the worker stand-in of the VM n, with args as additional command-line arguments.
func (i *Installation) StartWorker(n int, args ...string) (*Process, error) {
	args = append([]string{"worker", "--address=" + i.WorkerAddress(n)}, args...)
	return i.Start(i.VMName(n)+"-worker", "bamboohook-standin", append(args, i.WorkerArgs...)...)
}

// StartEndpoint starts the endpoint stand-in of the VM n, with args as additional command-line arguments.
func (i *Installation) StartEndpoint(n int, args ...string) (*Process, error) {
	args = append([]string{
		"endpoint", "--address=" + i.EndpointAddress(n), "--agent=" + i.vmAddress(n, portAnnounce), fmt.Sprintf("--seed=%d", n+1),
	}, args...)
	for _, s := range i.Services {
		args = append(args, "--service="+s)
	}
	return i.Start(i.VMName(n)+"-endpoint", "bamboohook-standin", args...)
}

// StartAgent writes the settings file of the agent of the VM n and starts the agent.
func (i *Installation) StartAgent(n int) (*Process, error) {
	file, err := i.writeFile(i.VMName(n)+".ini", fmt.Sprintf(`[agent]
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
%s`, i.VMName(n), i.DataCentre(n), n/vmsPerRack, i.vmAddress(n, portPeer), i.vmAddress(n, portRequest), i.vmAddress(n, portAnnounce),
		i.AgentOperatorAddress(n), i.WorkerAddress(n), i.entryPeerAddresses(), i.AgentSettings))
	if err != nil {
		return nil, err
	}
	return i.Start(i.VMName(n), "bamboohook", "agent", file)
}

// StartEntry writes the settings file of the entry n and starts the entry.
func (i *Installation) StartEntry(n int) (*Process, error) {
	file, err := i.writeFile(i.EntryName(n)+".ini", fmt.Sprintf(`[entry]
name = %s
region = region-1
data-centre = %s
caller-address = %s
peer-address = %s
operator-address = %s
log-address = %s
entries = %s
%s`, i.EntryName(n), i.DataCentre(n), i.EntryCallerAddress(n), i.entryAddress(n, portPeer), i.EntryOperatorAddress(n), i.LogAddress(), i.entryPeerAddresses(), i.EntrySettings))
	if err != nil {
		return nil, err
	}
	return i.Start(i.EntryName(n), "bamboohook", "entry", file)
}

// WriteInventory writes an inventory file with the sections of all VMs followed by otherSections, and returns its path. otherSections
// must contain a section for each service in Services, because the VMs refer to them.
func (i *Installation) WriteInventory(otherSections string) (string, error) {
	var services []string
	for _, s := range i.Services {
		name, _, _ := strings.Cut(s, "=")
		services = append(services, name)
	}
	var b strings.Builder
	for n := range i.VMs {
		fmt.Fprintf(&b, "[vm.%s]\ndata-centre = %s\nrack = rack-%d\nprocessors = 64\nmemory = 250GB\nslots = 8\nconnections = 64\nservices = %s\n",
			i.VMName(n), i.DataCentre(n), n/vmsPerRack, strings.Join(services, ", "))
	}
	b.WriteString(otherSections)
	return i.writeFile("inventory.ini", b.String())
}

// VMName returns the name of the VM n.
func (*Installation) VMName(n int) string { return fmt.Sprintf("vm-%d", n+1) }

// EntryName returns the name of the entry n.
func (*Installation) EntryName(n int) string { return fmt.Sprintf("entry-%d", n+1) }

// DataCentre returns the data centre of the VM or entry n.
func (*Installation) DataCentre(n int) string { return fmt.Sprintf("centre-%c", 'a'+n%dataCentreCount) }

// LogAddress returns the address of the log service.
func (i *Installation) LogAddress() string { return fmt.Sprintf("127.%d.0.1:%d", i.network, portLog) }

// EntryCallerAddress returns the address of the caller port of the entry n.
func (i *Installation) EntryCallerAddress(n int) string { return i.entryAddress(n, portCaller) }

// EntryOperatorAddress returns the address of the operator port of the entry n.
func (i *Installation) EntryOperatorAddress(n int) string { return i.entryAddress(n, portOperator) }

// AgentOperatorAddress returns the address of the operator port of the agent of the VM n.
func (i *Installation) AgentOperatorAddress(n int) string { return i.vmAddress(n, portOperator) }

// WorkerAddress returns the address of the worker stand-in of the VM n.
func (i *Installation) WorkerAddress(n int) string { return i.vmAddress(n, portWorker) }

// EndpointAddress returns the address of the endpoint stand-in of the VM n.
func (i *Installation) EndpointAddress(n int) string { return i.vmAddress(n, portEndpoint) }

func (i *Installation) entryAddress(n, port int) string {
	return fmt.Sprintf("127.%d.1.%d:%d", i.network, n+1, port)
}

func (i *Installation) vmAddress(n, port int) string {
	return fmt.Sprintf("127.%d.2.%d:%d", i.network, n+1, port)
}

// entryPeerAddresses returns the peer addresses of all entries, separated by commas.
func (i *Installation) entryPeerAddresses() string {
	var addresses []string
	for n := range i.Entries {
		addresses = append(addresses, i.entryAddress(n, portPeer))
	}
	return strings.Join(addresses, ", ")
}

// writeFile writes a file in OutputDir and returns its path.
func (i *Installation) writeFile(name, content string) (string, error) {
	file := filepath.Join(i.OutputDir, name)
	return file, eris.Wrap(os.WriteFile(file, []byte(content), 0o600), "launcher: cannot write the file")
}
