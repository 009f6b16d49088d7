package estate

import (
	"fmt"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// ReserveSubnet chooses among these subnets.
	firstSubnet, lastSubnet = 100, 199
	portReservation         = 28000
)

var (
	// reservations are the listeners that reserve subnets.
	reservations      []net.Listener
	reservationsMutex sync.Mutex
)

// ReserveSubnet returns a subnet for an Installation that no other caller on this machine uses while this process runs. It is not released before,
// because the servers of an installation stop in the background. It returns an error if no subnet is free. It is safe for concurrent use.
func ReserveSubnet() (int, error) {
	reservationsMutex.Lock()
	defer reservationsMutex.Unlock()
	for subnet := firstSubnet; subnet <= lastSubnet; subnet++ {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", subnet, portReservation)); err == nil {
			reservations = append(reservations, l)
			return subnet, nil
		}
	}
	return 0, eris.Errorf("estate: none of the subnets %d to %d is free", firstSubnet, lastSubnet)
}
