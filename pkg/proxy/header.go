package proxy

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/tarragondrum/tarragondrum/pkg/admission"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// The headers of the system's own besides those of pkg/reason and pkg/deadline.
const (
	// HeaderHop goes from node to node and is taken from nobody else.
	HeaderHop = "Tarragondrum-Hop"
	// HeaderDepth tells an upstream how deep a call is nested. The upstream sends
	// it back, unchanged, with the calls that it makes through its node.
	HeaderDepth = "Tarragondrum-Depth"
	// HeaderLoad tells the sending node how busy the upstream is.
	HeaderLoad = "Tarragondrum-Load"
	// HeaderShed is set by an upstream that turned a call away. The value
	// "not-run" promises that the call had no effect.
	HeaderShed = "Tarragondrum-Shed"

	headerPrefix = "Tarragondrum-"
)

const (
	// MaxDepth is the deepest nesting of calls.
	MaxDepth = 32
	// maxHopBytes bounds the value of HeaderHop.
	maxHopBytes  = 1024
	tokenContext = "tarragondrum hop 1"
	retriedMark  = "r"
)

// Token authenticates the headers between nodes. It is derived from the secret
// that all nodes share.
type Token string

// NewToken derives the token from the shared secret.
func NewToken(secret []byte) Token {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(tokenContext))
	return Token(hex.EncodeToString(mac.Sum(nil)))
}

// Matches compares in constant time.
func (t Token) Matches(given string) bool {
	return len(t) > 0 && subtle.ConstantTimeCompare([]byte(t), []byte(given)) == 1
}

// Depth tells how deep a call is nested and whether it is part of a retry
// further out.
type Depth struct {
	Level   int
	Retried bool
}

// String writes the value of HeaderDepth, such as "3" or "3r".
func (d Depth) String() string {
	s := strconv.Itoa(d.Level)
	if d.Retried {
		s += retriedMark
	}
	return s
}

// ParseDepth reads the value of HeaderDepth. An empty value is the outermost call.
func ParseDepth(value string) (Depth, error) {
	if value == "" {
		return Depth{}, nil
	}
	digits, retried := strings.CutSuffix(value, retriedMark)
	level, err := strconv.ParseUint(digits, 10, 16)
	if err != nil {
		return Depth{}, fmt.Errorf("%s %q is not a number of calls", HeaderDepth, clip(value))
	}
	return Depth{Level: int(level), Retried: retried}, nil
}

// Hop is what one node tells the next about a call.
type Hop struct {
	Depth    Depth
	Class    model.Class
	Service  string
	Upstream string
}

// Encode writes the value of HeaderHop.
func (h Hop) Encode(t Token) string {
	return string(t) + " " + h.Depth.String() + " " + string(h.Class) + " " + h.Service + " " + h.Upstream
}

// ParseHop reads the value of HeaderHop and checks its token. It returns
// ErrToken if the token does not match.
func ParseHop(value string, t Token) (Hop, error) {
	if len(value) > maxHopBytes {
		return Hop{}, fmt.Errorf("%s has %d bytes, at most %d are read: %w", HeaderHop, len(value), maxHopBytes, ErrHop)
	}
	token, rest, _ := strings.Cut(value, " ")
	if !t.Matches(token) {
		return Hop{}, ErrToken
	}
	fields := strings.Split(rest, " ")
	if len(fields) != 4 || fields[2] == "" {
		return Hop{}, fmt.Errorf("%s has %d fields: %w", HeaderHop, len(fields), ErrHop)
	}
	depth, err := ParseDepth(fields[0])
	if err != nil {
		return Hop{}, fmt.Errorf("%w: %w", ErrHop, err)
	}
	h := Hop{Depth: depth, Class: model.Class(fields[1]), Service: fields[2], Upstream: fields[3]}
	if !h.Class.Valid() {
		return Hop{}, fmt.Errorf("%s has unknown class %q: %w", HeaderHop, clip(fields[1]), ErrHop)
	}
	return h, nil
}

// encodeLoad writes the value of HeaderLoad.
func encodeLoad(l admission.Load) string {
	b := make([]byte, 0, 16)
	for i, n := range [...]int{l.Running, l.Queued, l.Limit, l.Failed} {
		if i > 0 {
			b = append(b, ' ')
		}
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// parseLoad reads the value of HeaderLoad. A malformed value counts as absent.
func parseLoad(value string) (admission.Load, bool) {
	var l admission.Load
	for _, to := range [...]*int{&l.Running, &l.Queued, &l.Limit, &l.Failed} {
		var text string
		text, value, _ = strings.Cut(value, " ")
		n, err := strconv.ParseUint(text, 10, 20)
		if err != nil {
			return admission.Load{}, false
		}
		*to = int(n)
	}
	return l, value == ""
}

// hopByHop lists the headers that concern one connection only, in lower case.
var hopByHop = map[string]bool{
	"connection":          true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"proxy-connection":    true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"content-length":      true,
	"upgrade":             true,
	"expect":              true,
}

// isHopByHop reports whether a header stays on its connection. connection is
// the value of the Connection header, which names further ones.
func isHopByHop(name, connection string) bool {
	if hopByHop[strings.ToLower(name)] {
		return true
	}
	if connection == "" {
		return false
	}
	for _, named := range strings.Split(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(named), name) {
			return true
		}
	}
	return false
}

// isOwn reports whether a header belongs to the system.
func isOwn(name string) bool {
	return len(name) >= len(headerPrefix) && strings.EqualFold(name[:len(headerPrefix)], headerPrefix)
}

// clip shortens a value for an error text.
func clip(s string) string {
	const most = 40
	if len(s) > most {
		return s[:most] + "..."
	}
	return s
}
