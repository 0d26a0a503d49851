// Package localmesh runs the nodes of a whole mesh in one process on loopback
// addresses, with the stand-in platform and stand-in upstreams. The demo, the
// load tool and tests use it; nothing in it is used by a deployed node.
package localmesh

import (
	"fmt"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Deployment describes a mesh to run.
type Deployment struct {
	// Name is the namespace of the mesh in the platform.
	Name        string
	Region      model.Region
	DataCentres []model.DataCentre
	Services    []Service
}

// Service describes the instances of one service.
type Service struct {
	Name        string
	Instances   int
	Slots       int
	Connections int
}

// Instance is one upstream of a deployment with the place of its host.
type Instance struct {
	Name       string
	DataCentre model.DataCentre
	Service    Service
}

// Cluj returns the deployment of the Marcaj Order Desk Mesh.
func Cluj() Deployment {
	return Deployment{
		Name:        "cluj",
		Region:      "ro-nord",
		DataCentres: []model.DataCentre{"cluj-1", "cluj-2", "cluj-3"},
		Services: []Service{
			{Name: "order-desk", Instances: 7, Slots: 9, Connections: 130},
			{Name: "pigment-ledger", Instances: 5, Slots: 9, Connections: 130},
		},
	}
}

// Casablanca returns the deployment of the Guild Apron Orders Mesh.
func Casablanca() Deployment {
	return Deployment{
		Name:        "casablanca",
		Region:      "ma-central",
		DataCentres: []model.DataCentre{"casa-1", "casa-2", "casa-3", "casa-4"},
		Services: []Service{
			{Name: "orders", Instances: 5, Slots: 6, Connections: 110},
			{Name: "catalogue", Instances: 4, Slots: 6, Connections: 110},
		},
	}
}

// Deployments returns the deployments by name.
func Deployments() map[string]Deployment {
	return map[string]Deployment{"cluj": Cluj(), "casablanca": Casablanca()}
}

// Instances lists the upstreams, each service spread over the data centres.
func (d Deployment) Instances() []Instance {
	var list []Instance
	for _, s := range d.Services {
		for i := range s.Instances {
			list = append(list, Instance{
				Name:       fmt.Sprintf("%s-%d", s.Name, i+1),
				DataCentre: d.DataCentres[i%len(d.DataCentres)],
				Service:    s,
			})
		}
	}
	return list
}
