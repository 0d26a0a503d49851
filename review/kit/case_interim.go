package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["interim"] = caseInterim }

// caseInterim lets clients send a second idempotent request before the first one, a download,
// has been answered whole. The second one has a body and expects 100 Continue. Without trouble
// the second request is sent after the whole first answer.
func caseInterim(r *caseRun) (bool, error) {
	m, err := newMesh(r.repo, r.dir, 1000, [][2]string{{"a", "order-desk"}, {"a", "scan-service"}, {"b", "order-desk"}, {"b", "scan-service"}, {"c", "order-desk"}, {"c", "scan-service"}})
	if err != nil {
		return false, err
	}
	r.mesh = m
	const host = "lab.example"
	err = m.start(map[string]any{
		"scan":  route(host, "/scan/", "download", "scan-service", 4000, 600, 2, 2),
		"batch": route(host, "/batch/", "idempotent", "order-desk", 4000, 600, 2, 2),
	}, "order-desk", "scan-service")
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	sent, wrong := 0, 0
	var clients sync.WaitGroup
	for i, x := range m.machines {
		clients.Go(func() {
			for n := range 20 {
				id := fmt.Sprintf("d%d-%03d", i, n)
				result := pipeline(x, host, id, r.trouble)
				mu.Lock()
				sent++
				if strings.HasPrefix(result, "WRONG") {
					wrong++
				}
				mu.Unlock()
				m.record.line(time.Now(), "client at %s: %s GET /scan/%s, then POST /batch/%s: %s", x.name, id, id, id, result)
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	m.record.say("%d downloads, %d of them handed out with success and a body that is not the instance's", sent, wrong)
	return wrong > 0, nil
}

const scanBytes = 540000 // the largest answer of scan-download

// pipeline sends both requests on one connection and compares the first answer with what the
// instance sent.
func pipeline(x *machine, host, id string, early bool) string {
	c, err := net.DialTimeout("tcp", x.outbound, time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	_, _ = fmt.Fprintf(c, "GET /scan/%s?w=180&s=%d HTTP/1.1\r\nHost: %s\r\nTarragondrum-Request-Id: %s\r\nTarragondrum-Deadline-Ms: 4000\r\n\r\n", id, scanBytes, host, id)
	in := bufio.NewReader(c)
	second := func() {
		_, _ = fmt.Fprintf(c, "POST /batch/%s?w=50 HTTP/1.1\r\nHost: %s\r\nTarragondrum-Request-Id: %s-2\r\nTarragondrum-Deadline-Ms: 4000\r\nExpect: 100-continue\r\nContent-Length: 20\r\n\r\n", id, host, id)
	}
	if early {
		if _, err := in.Peek(1); err != nil { // the answer has begun
			return err.Error()
		}
		second()
	}
	a, err := http.ReadResponse(in, nil)
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return fmt.Sprintf("status %d, body cut after %d bytes: %v", a.StatusCode, len(body), err)
	}
	whole := "answer to " + id
	whole += strings.Repeat(".", scanBytes-len(whole))
	switch {
	case a.StatusCode != http.StatusOK:
		return fmt.Sprintf("status %d", a.StatusCode)
	case string(body) != whole:
		j := 0
		for j < len(body) && body[j] == whole[j] {
			j++
		}
		return fmt.Sprintf("WRONG: status 200, signature %q, %d bytes; from byte %d on: %q", a.Header.Get("Tarragondrum-Server-Signature"), len(body), j, body[j:min(len(body), j+25)])
	}
	if !early {
		second()
	}
	// The interim answer, or after a while without it, lets the body go.
	_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	_, _ = in.Peek(1)
	_, _ = io.WriteString(c, strings.Repeat("b", 20))
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	b, err := http.ReadResponse(in, nil)
	if err != nil {
		return "first answer whole; second: " + err.Error()
	}
	for b.StatusCode == http.StatusContinue {
		if b, err = http.ReadResponse(in, nil); err != nil {
			return "first answer whole; second: " + err.Error()
		}
	}
	_, _ = io.Copy(io.Discard, b.Body)
	return fmt.Sprintf("first answer whole; second: status %d", b.StatusCode)
}
