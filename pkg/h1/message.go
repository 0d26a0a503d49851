// Package h1 implements the HTTP/1.1 server and client of the proxy: connections from
// callers, with pipelined requests, and connections to the upstream. Messages are buffered
// completely, so that a caller never gets a part of a broken response and a request can be
// retried.
//
// Messages are parsed by the standard library. Its server is not used, because it handles
// the requests of one connection one after another.
package h1

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/memory"
)

// Request is a request that was read completely.
type Request struct {
	Method string
	// Target is the request target as the caller sent it, and Path its escaped path.
	Target  string
	Path    string
	Host    string
	Header  http.Header
	Body    []byte
	Arrived time.Time
	// LargeAnswer allows a large response without a declared length.
	LargeAnswer bool
}

// Response is a response that is buffered completely.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Held is the memory reserved for the body. The last user of the response releases it.
	Held *memory.Reservation
	// Close closes the connection after the response.
	Close bool
	// HeadAt is when the status line and headers had been read, for a response of a peer.
	HeadAt time.Time
}

// hopHeaders are the headers that apply to one connection only and are never forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// stripHop removes the headers that apply to one connection only, including those that the
// Connection header lists.
func stripHop(h http.Header) {
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// hasBody reports whether a response with this status to a request with this method has a
// body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

func writeHeader(w *bufio.Writer, h http.Header) {
	for name, values := range h {
		for _, v := range values {
			writeLine(w, name, v)
		}
	}
}

// lineBreaks replaces line breaks in header values, which would end the header line early.
var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

func writeLine(w *bufio.Writer, name, value string) {
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	_, _ = lineBreaks.WriteString(w, value)
	_, _ = w.WriteString("\r\n")
}

// writeHead writes the status line and the headers of the response to a request with the
// given method, and returns the body to write. Write errors are returned by w.Flush.
func (r *Response) writeHead(w *bufio.Writer, method string) []byte {
	_, _ = w.WriteString("HTTP/1.1 ")
	_, _ = w.WriteString(strconv.Itoa(r.Status))
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(http.StatusText(r.Status))
	_, _ = w.WriteString("\r\n")
	writeHeader(w, r.Header)
	withBody := hasBody(method, r.Status)
	if withBody {
		writeLine(w, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	if r.Close {
		writeLine(w, "Connection", "close")
	}
	_, _ = w.WriteString("\r\n")
	if !withBody {
		return nil
	}
	return r.Body
}

// write writes the request to w. Write errors are returned by w.Flush.
func (q *Request) write(w *bufio.Writer) {
	_, _ = w.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\n")
	writeLine(w, "Host", q.Host)
	writeHeader(w, q.Header)
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch {
		writeLine(w, "Content-Length", strconv.Itoa(len(q.Body)))
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(q.Body)
}

// RetryAfterSeconds formats a duration for the Retry-After header, in seconds with three decimals.
func RetryAfterSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
