package demo

import (
	"net/http"

	"github.com/tarragondrum/tarragondrum/pkg/localmesh"
)

// story is what differs between the deployments.
type story struct {
	title      string
	deployment localmesh.Deployment
	// operators are the pair at the handover; the first one signs off first.
	operators [2]string
	// calls has requests of the classes that callers use.
	calls []namedRequest
	// order must run at most once; its service has several upstreams.
	order localmesh.Request
	// service is the one of which an upstream leaves.
	service string
}

type namedRequest struct {
	name    string
	request localmesh.Request
}

func get(host, path string) localmesh.Request {
	return localmesh.Request{Method: http.MethodGet, Host: host, Path: path}
}

func stories() []story {
	const desk, guild = "desk.marcaj.example", "aprons.guild.example"
	return []story{
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
