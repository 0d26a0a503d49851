package demo

import (
	"github.com/tarragondrum/tarragondrum/pkg/localmesh"
)

// story is what differs between the deployments.
type story struct {
	title      string
	deployment localmesh.Deployment
	// operators are the pair at the handover; the first one signs off first.
	operators [2]string
	// calls has one call for each class that callers may use.
	calls []namedCall
	// nested is a call of an upstream to another service.
	nested namedCall
	// order is sent several times with the same key.
	order localmesh.Call
	// drained is the service of which an instance is drained.
	drained string
}

type namedCall struct {
	name string
	call localmesh.Call
}

func stories() []story {
	const desk, guild = "desk.marcaj.example", "aprons.guild.example"
	return []story{
		{
			title:      "Marcaj Order Desk Mesh, Cluj",
			deployment: localmesh.Cluj(),
			operators:  [2]string{"ioana", "mihai"},
			calls: []namedCall{
				{"interactive", localmesh.Call{Method: "GET", Host: desk, Path: "/shade-cards/red"}},
				{"interactive", localmesh.Call{Method: "GET", Host: desk, Path: "/stock/stencils"}},
				{"batch", localmesh.Call{Method: "GET", Host: desk, Path: "/pigments/ochre"}},
			},
			nested:  namedCall{"internal", localmesh.Call{Method: "GET", Path: "/labels/4711"}},
			order:   localmesh.Call{Method: "POST", Host: desk, Path: "/orders", Body: "one pallet of red"},
			drained: "order-desk",
		},
		{
			title:      "Guild Apron Orders Mesh, Casablanca",
			deployment: localmesh.Casablanca(),
			operators:  [2]string{"salma", "youssef"},
			calls: []namedCall{
				{"interactive", localmesh.Call{Method: "GET", Host: guild, Path: "/orders/1812"}},
				{"interactive", localmesh.Call{Method: "GET", Host: guild, Path: "/catalogue/sizes/l"}},
				{"batch", localmesh.Call{Method: "GET", Host: guild, Path: "/catalogue/leather"}},
			},
			nested:  namedCall{"internal", localmesh.Call{Method: "GET", Path: "/stock/buckles"}},
			order:   localmesh.Call{Method: "POST", Host: guild, Path: "/payments", Body: "one apron batch"},
			drained: "orders",
		},
	}
}
