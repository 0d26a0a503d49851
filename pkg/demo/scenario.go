package demo

import (
	"net/http"

	"github.com/tarragondrum/tarragondrum/pkg/localmesh"
)

// scenario holds what differs between the deployments.
type scenario struct {
	title      string
	deployment localmesh.Deployment
	// operators are two operators who sign off bundles. The first one wins the race.
	operators [2]string
	// calls holds requests of every class.
	calls []namedRequest
	// order is a request that must run at most once. Its service has several upstreams,
	// to which a retry could go.
	order localmesh.Request
	// service is the service of the upstream that leaves the mesh under load.
	service string
}

// namedRequest is a request and the name of its class.
type namedRequest struct {
	name    string
	request localmesh.Request
}

// get returns a GET request.
func get(host, path string) localmesh.Request {
	return localmesh.Request{Method: http.MethodGet, Host: host, Path: path}
}

// scenarios returns the scenario of each example deployment.
func scenarios() []scenario {
	const desk, guild = "desk.marcaj.example", "aprons.guild.example"
	return []scenario{
		{
			title:      "Marcaj Order Desk Mesh, Cluj",
			deployment: localmesh.Cluj(),
			operators:  [2]string{"ioana", "mihai"},
			calls: []namedRequest{
				{"interactive", get(desk, "/shade-cards/red")},
				{"interactive", get(desk, "/stock/stencils")},
				{"batch", get(desk, "/pigments/ochre")},
				{"internal", get("labels.marcaj.example", "/labels/4711")},
			},
			order:   localmesh.Request{Method: http.MethodPost, Host: desk, Path: "/orders/1", Body: "one pallet of red"},
			service: "order-desk",
		},
		{
			title:      "Guild Apron Orders Mesh, Casablanca",
			deployment: localmesh.Casablanca(),
			operators:  [2]string{"salma", "youssef"},
			calls: []namedRequest{
				{"interactive", get(guild, "/orders/1812")},
				{"interactive", get(guild, "/catalogue/sizes/l")},
				{"batch", get(guild, "/catalogue/leather")},
				{"internal", get("stock.guild.example", "/stock/buckles")},
			},
			order:   localmesh.Request{Method: http.MethodPost, Host: guild, Path: "/payments/1", Body: "one apron batch"},
			service: "orders",
		},
	}
}
