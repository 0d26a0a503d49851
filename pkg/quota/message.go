package quota

// Request asks a hub for tokens and lets it use the share of the sender.
type Request struct {
	// Process and Number identify the request: the process of the sender, and a number that
	// grows within it.
	Process int64  `cbor:"1,keyasint"`
	Number  uint64 `cbor:"2,keyasint"`
	// HubProcess is the process of the receiver that Tick and Unused refer to.
	HubProcess int64 `cbor:"3,keyasint,omitempty"`
	// Tick is the newest tick of the hub, by which the sender lets it use its share, and 0 if
	// it does not.
	Tick int64 `cbor:"4,keyasint,omitempty"`
	// Borrow is set in the request of one hub to another, which gives only what it does not
	// need itself.
	Borrow bool `cbor:"5,keyasint,omitempty"`
	// Rested is set if the sender has not used its own share for so long that all tokens from
	// it have expired, so that the lease may begin at once.
	Rested bool     `cbor:"8,keyasint,omitempty"`
	Wants  []Want   `cbor:"6,keyasint,omitempty"`
	Unused []Unused `cbor:"7,keyasint,omitempty"`
}

// Want is the number of tokens requested for an organisation.
type Want struct {
	Organisation string `cbor:"1,keyasint"`
	Tokens       int    `cbor:"2,keyasint"`
}

// Unused is the number of tokens that the hub issued at a tick and that expired at the sender
// without being used.
type Unused struct {
	Organisation string `cbor:"1,keyasint"`
	Issued       int64  `cbor:"2,keyasint"`
	Tokens       int    `cbor:"3,keyasint"`
}

// Grant answers a request. A request may have several answers, since a hub that lacks tokens
// may get them from other hubs later.
type Grant struct {
	// Process is the process of the hub.
	Process int64 `cbor:"1,keyasint"`
	// RequestProcess and Request identify the request, and Part the answer to it.
	RequestProcess int64  `cbor:"2,keyasint"`
	Request        uint64 `cbor:"3,keyasint"`
	Part           uint8  `cbor:"4,keyasint,omitempty"`
	// Tick is the time of the hub's clock in milliseconds when it made the grant. The follower
	// returns it in its next request.
	Tick int64 `cbor:"5,keyasint"`
	// NoLease is set by a hub that cannot use shares now.
	NoLease bool     `cbor:"6,keyasint,omitempty"`
	Tokens  []Tokens `cbor:"7,keyasint,omitempty"`
}

// Tokens are tokens for an organisation.
type Tokens struct {
	Organisation string `cbor:"1,keyasint"`
	Tokens       int    `cbor:"2,keyasint,omitempty"`
	// ValidMs is how long the tokens may be used, in milliseconds from the time when the
	// request was sent.
	ValidMs int64 `cbor:"3,keyasint,omitempty"`
	// Borrowed is set for tokens from another hub, which are not reported as unused.
	Borrowed bool `cbor:"4,keyasint,omitempty"`
	// RetryMs is the time in milliseconds after which the hub will likely have a token again,
	// set if it had fewer than requested.
	RetryMs int64 `cbor:"5,keyasint,omitempty"`
}

// Message is a request or a grant to another node.
type Message struct {
	To      string
	Request *Request
	Grant   *Grant
}
