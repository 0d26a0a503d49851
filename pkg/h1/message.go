// Package h1 carries HTTP/1.1 messages for the proxy: the connections of
// callers, with pipelined requests, and those to the upstream. Messages are held
// whole, so that no part of a broken answer reaches a caller and a request can
// be sent again.
//
// The standard library's parsers read the messages; a server library is not
// used because it would run the requests of one connection one after another.
package h1

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/memory"
)

// Request is a request that was read whole.
type Request struct {
	Method string
	// Target is the request target as it was sent, and Path its path.
	Target  string
	Path    string
	Host    string
	Header  http.Header
	Body    []byte
	Arrived time.Time
	// LargeAnswer tells that the answer may be large without telling its length.
	LargeAnswer bool
}

// Response is an answer that is held whole.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Held is the memory of the body, which whoever has the answer last releases.
	Held *memory.Hold
	// Close ends the connection after the answer.
	Close bool
}

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// stripHop removes the headers that concern one connection, those that
// Connection names among them.
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

// hasBody reports whether an answer to method with this status has a body.
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

// lineBreaks would end a header line early.
var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

func writeLine(w *bufio.Writer, name, value string) {
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	_, _ = lineBreaks.WriteString(w, value)
	_, _ = w.WriteString("\r\n")
}

// writeHead writes all of the answer to a request with the given method but its
// body, and returns the body. Errors of w are found by its Flush.
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

// write writes a request. Errors of w are found by its Flush.
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

// Seconds formats a duration for the Retry-After header, with milliseconds.
func Seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
