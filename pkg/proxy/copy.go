package proxy

import "github.com/cloudwego/hertz/pkg/protocol"

// copyRequestHeader copies what goes on to the next hop.
func copyRequestHeader(dst, src *protocol.RequestHeader) {
	dst.Reset()
	dst.SetNoDefaultContentType(true)
	dst.SetMethodBytes(src.Method())
	dst.SetRequestURIBytes(src.RequestURI())
	dst.SetHostBytes(src.Host())
	connection := string(src.Peek("Connection"))
	src.VisitAll(func(key, value []byte) {
		name := string(key)
		switch {
		case name == "Host", isOwn(name), isHopByHop(name, connection):
		case name == "Content-Type":
			dst.SetContentTypeBytes(value)
		case name == "User-Agent":
			dst.SetUserAgentBytes(value)
		default:
			dst.AddArgBytes(key, value, protocol.ArgsHasValue)
		}
	})
}

// copyResponseHeader copies what goes back to the previous hop.
func copyResponseHeader(dst, src *protocol.ResponseHeader) {
	dst.SetStatusCode(src.StatusCode())
	dst.SetNoDefaultContentType(true)
	connection := string(src.Peek("Connection"))
	src.VisitAll(func(key, value []byte) {
		name := string(key)
		switch {
		case isOwn(name), isHopByHop(name, connection):
		case name == "Content-Type":
			dst.SetContentTypeBytes(value)
		default:
			dst.Add(name, string(value))
		}
	})
}
