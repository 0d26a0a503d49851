package callers

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// brokenAnswers are answers to a request, with the lines of signed in their head, that callers must not get.
var brokenAnswers = map[string]string{
	"blank after a length":      "HTTP/1.1 200 OK\r\n%sContent-Length : 5\r\n\r\nhello",
	"blank after an encoding":   "HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"blank after a name":        "HTTP/1.1 200 OK\r\n%sX-More : 1\r\nContent-Length: 5\r\n\r\nhello",
	"blank in a name":           "HTTP/1.1 200 OK\r\n%sX More: 1\r\nContent-Length: 5\r\n\r\nhello",
	"blank in a failure":        "HTTP/1.1 500 Oh\r\n%sX More: 1\r\nContent-Length: 5\r\n\r\nhello",
	"blank in an interim head":  "HTTP/1.1 103 Early\r\nX More: 1\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nhello",
	"blank in a trailer":        "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX More: 1\r\n\r\n",
	"blank before a length":     "HTTP/1.1 200 OK\r\n%s Content-Length: 5\r\n\r\nhello",
	"blank before a name":       "HTTP/1.1 200 OK\r\n%s X-More: 1\r\nContent-Length: 5\r\n\r\nhello",
	"tab before a name":         "HTTP/1.1 200 OK\r\n%s\tX-More: 1\r\nContent-Length: 5\r\n\r\nhello",
	"tab after a length":        "HTTP/1.1 200 OK\r\n%sContent-Length\t: 5\r\n\r\nhello",
	"control byte in a name":    "HTTP/1.1 200 OK\r\n%sX\x01More: 1\r\nContent-Length: 5\r\n\r\nhello",
	"carriage return in a name": "HTTP/1.1 200 OK\r\n%sX\rMore: 1\r\nContent-Length: 5\r\n\r\nhello",
	"nul in a name":             "HTTP/1.1 200 OK\r\n%sX\x00More: 1\r\nContent-Length: 5\r\n\r\nhello",
	"control byte in a trailer": "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX\x01More: 1\r\n\r\n",
	"status 000":                "HTTP/1.1 000 OK\r\n%sContent-Length: 5\r\n\r\nhello",
	"status 000, no length":     "HTTP/1.1 000 OK\r\n%s\r\nhello",
	"status 000, interim":       "HTTP/1.1 000 Early\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nhello",
	"status 099":                "HTTP/1.1 099 OK\r\n%sContent-Length: 5\r\n\r\nhello",
	"status 600":                "HTTP/1.1 600 OK\r\n%sContent-Length: 5\r\n\r\nhello",
	"status +20":                "HTTP/1.1 +20 OK\r\n%sContent-Length: 5\r\n\r\nhello",
}

// Guards against passing on answers whose head is none: with a status that is not from 100 to
// 599, or a field name with a blank or a control byte, which may hide where the body ends.
func TestBrokenHeadReachesNoCaller(t *testing.T) {
	eachWay(t, memoryMB, bodyBytes, func(t *testing.T, at *node, behave func(standin.Behaviour)) {
		for name, answer := range brokenAnswers {
			behave(standin.Behaviour{TakeOver: func(c *net.TCPConn, r *http.Request) {
				_, _ = fmt.Fprintf(c, answer, signed(r))
			}})
			if r := at.ask(http.MethodGet, "/desk/x", nil); r.err != nil || r.status != http.StatusBadGateway {
				t.Errorf("%s: status %d, header %q, body %q, %v", name, r.status, r.header, r.body, r.err)
			}
		}
	})
}

// Guards against refusing answers with unusual names, values and statuses that HTTP allows.
func TestUnusualHeadIsPassedOn(t *testing.T) {
	const fields = "!#$%&'*+-.^_`|~09azAZ: 1\r\nX-Blanks:\t a  b\tc \t\r\nX-Empty:\r\nX-Colon: a : b\r\n"
	eachWay(t, memoryMB, bodyBytes, func(t *testing.T, at *node, behave func(standin.Behaviour)) {
		for name, tt := range map[string]struct {
			status  int
			framing string
		}{
			"length":        {http.StatusOK, "Content-Length: 5\r\n\r\nhello"},
			"chunks":        {http.StatusOK, "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n"},
			"no length":     {http.StatusOK, "\r\nhello"},
			"unknown 2xx":   {299, "Content-Length: 5\r\n\r\nhello"},
			"unknown error": {599, "Content-Length: 5\r\n\r\nhello"},
		} {
			behave(standin.Behaviour{TakeOver: func(c *net.TCPConn, r *http.Request) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 103 Early\r\nX-Early: 1\r\n\r\nHTTP/1.1 %d A\r\n%s%s%s", tt.status, signed(r), fields, tt.framing)
			}})
			r := at.ask(http.MethodGet, "/desk/x", nil)
			if r.err != nil || r.status != tt.status || string(r.body) != "hello" || r.header.Get("X-Blanks") != "a  b\tc" || r.header.Get("X-Colon") != "a : b" {
				t.Errorf("%s: status %d, header %q, body %q, %v", name, r.status, r.header, r.body, r.err)
			}
		}
	})
}

// Guards against requests with a blank in a field name, which may hide the body from the node and
// not from the upstream: what the body holds could then run as a request.
func TestBrokenRequestHeadIsRefused(t *testing.T) {
	n := startNode(t)
	for _, line := range []string{"Content-Length : 5", "Transfer-Encoding : chunked", "X More: 1", "X\tMore: 1", "X\x01More: 1"} {
		c := n.dial(n.ip + ":8081")
		if c == nil {
			t.Fatal("the node does not accept a connection")
		}
		_ = c.SetDeadline(time.Now().Add(giveUp))
		head := n.places()[0].head("broken-head")
		_, _ = io.WriteString(c, head+line+"\r\n\r\n"+strings.ReplaceAll(head, "broken-head", "smuggled")+"\r\n")
		text, err := io.ReadAll(c)
		_ = c.Close()
		if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 400 ") || strings.Count(string(text), "HTTP/1.1") != 1 {
			t.Errorf("%q: %q, %v", line, text, err)
		}
	}
	all, _ := n.upstream.Seen()
	for _, seen := range all {
		if seen.ID == "broken-head" || seen.ID == "smuggled" {
			t.Errorf("the upstream got %q", seen.ID)
		}
	}
	n.check()
}
