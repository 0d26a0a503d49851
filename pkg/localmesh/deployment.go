package localmesh

import "fmt"

// Service is a service of a deployment.
type Service struct {
	Name string
	// HostCount is the number of hosts that run the service.
	HostCount int
	// Slots is the number of request slots that each upstream announces as its capacity.
	Slots int
	// Version is the version of the software of its upstreams, empty for "v1".
	Version string
}

// Deployment describes the hosts of a mesh. Hosts are assigned to the data centres in
// turn.
type Deployment struct {
	Name        string
	DataCentres []string
	Services    []Service
}

// Cluj returns the deployment of the order desk example.
func Cluj() Deployment {
	return Deployment{
		Name:        "cluj",
		DataCentres: []string{"cluj-1", "cluj-2", "cluj-3"},
		Services:    []Service{{Name: "order-desk", HostCount: 4, Slots: 9}, {Name: "pigment-ledger", HostCount: 2, Slots: 9}},
	}
}

// Casablanca returns the deployment of the apron orders example.
func Casablanca() Deployment {
	return Deployment{
		Name:        "casablanca",
		DataCentres: []string{"casablanca-1", "casablanca-2", "casablanca-3", "casablanca-4"},
		Services:    []Service{{Name: "orders", HostCount: 5, Slots: 6}, {Name: "catalogue", HostCount: 4, Slots: 6}},
	}
}

// SingleService returns a deployment of one service over the given numbers of hosts and data
// centres, for measurements.
func SingleService(hosts, dataCentres int) Deployment {
	d := Deployment{Name: "uniform", Services: []Service{{Name: "orders", HostCount: hosts, Slots: 6}}}
	for i := range dataCentres {
		d.DataCentres = append(d.DataCentres, fmt.Sprintf("dc-%d", i+1))
	}
	return d
}

// HostCount returns the number of hosts.
func (d *Deployment) HostCount() int {
	n := 0
	for _, s := range d.Services {
		n += s.HostCount
	}
	return n
}
