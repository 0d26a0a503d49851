package calls

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/oklog/ulid/v2"

	"github.com/tarragondrum/tarragondrum/pkg/bench/upstream"
	"github.com/tarragondrum/tarragondrum/pkg/history"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/order"
	"github.com/tarragondrum/tarragondrum/pkg/proxy/client"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

// Policy says how callers reach the upstreams.
type Policy string

// The policies. All but PolicyMesh call the stand-ins directly, without nodes
// and so without admission; they are the baselines.
const (
	PolicyMesh       Policy = "tarragondrum"
	PolicyRandom     Policy = "random"
	PolicyRoundRobin Policy = "round-robin"
	// PolicyRetry picks at random and sends a failed call again up to three times.
	PolicyRetry Policy = "random-retry3"
)

const (
	// callTimeout is how long a caller waits for one attempt.
	callTimeout = 3 * time.Second
	// plainRetries is the number of further attempts of PolicyRetry.
	plainRetries = 3
	// maxCallerConns bounds the connections of all callers to one address.
	maxCallerConns = 1024
	// connectAttempts is the number of nodes that a caller outside tries to
	// connect to.
	connectAttempts = 4
	// resendPause is when a caller sends an order again that got no good answer.
	resendPause = 150 * time.Millisecond
	// maxResends bounds the attempts of one intent, maxKeys its keys.
	maxResends = 12
	maxKeys    = 4
)

// call is one thing that a caller wants done.
type call struct {
	class model.Class
	// label names the calls in the result if there are several kinds in a class.
	label  string
	method string
	path   string
	poison bool
	// keyed orders carry an Idempotency-Key; opaque ones one without birth time.
	keyed, opaque bool
	// copies sends the same order that many times through different nodes.
	copies int
	// patient callers wait and come back after a refusal.
	patient bool
}

// callers sends calls under one policy and collects what came back.
type callers struct {
	policy  Policy
	cluster *cluster
	service string

	mu      sync.Mutex
	rng     *rand.Rand
	serial  uint64
	turn    int
	pools   map[string]*client.Pool
	classes map[string]*ClassResult
	// wrong counts replies to other calls, wrongReply describes the first.
	wrong      int
	wrongReply string
	// cuts counts attempts that broke off or ended unknown.
	cuts int
}

func newCallers(p Policy, c *cluster, service string, seed uint64) *callers {
	return &callers{
		policy:  p,
		cluster: c,
		service: service,
		rng:     rand.New(rand.NewPCG(seed, 7)),
		pools:   make(map[string]*client.Pool),
		classes: make(map[string]*ClassResult),
	}
}

func (s *callers) close() {
	for _, p := range s.pools {
		p.Close()
	}
}

// reply is what one attempt brought back.
type reply struct {
	status int
	body   string
	effect reason.Effect
	reason string
	again  time.Duration
	// connected is false if no byte of the attempt was sent.
	connected bool
}

func (r reply) good() bool { return r.status >= 200 && r.status < 300 }

// run sends a call that was planned for a time and counts it.
func (s *callers) run(ctx context.Context, planned time.Time, c call) {
	do := s.plain
	if c.keyed {
		do = s.order
	}
	good := do(ctx, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.class(c)
	r.Calls++
	if good {
		r.Good++
		record(r.latency, time.Since(planned))
	}
}

func (s *callers) class(c call) *ClassResult {
	name := string(c.class) + c.label
	r, ok := s.classes[name]
	if !ok {
		r = newClassResult()
		s.classes[name] = r
	}
	return r
}

// plain sends a call without a key; a patient caller comes back when told to.
func (s *callers) plain(ctx context.Context, c call) bool {
	tries := 1
	if s.policy == PolicyRetry {
		tries += plainRetries
	}
	if c.patient {
		tries = max(tries, maxResends)
	}
	for try := range tries {
		r := s.attempt(ctx, c, "", "", try)
		if r.good() {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		if c.patient {
			pause(ctx, max(r.again, resendPause))
		}
	}
	return false
}

// order sends an order until it has run or its outcome is unknown for good. It
// takes a new key only if every attempt with the old one was answered not run.
func (s *callers) order(ctx context.Context, c call) bool {
	intent := s.next()
	if c.copies > 1 {
		return s.copies(ctx, c, intent)
	}
	for range maxKeys {
		key := s.key(c)
		allNotRun := true
		for try := range maxResends / maxKeys {
			r := s.attempt(ctx, c, key, intent, try)
			if r.good() {
				return true
			}
			allNotRun = allNotRun && r.effect == reason.NotRun
			pause(ctx, resendPause)
			if ctx.Err() != nil {
				return false
			}
		}
		if !allNotRun {
			return s.insist(ctx, c, key, intent)
		}
	}
	return false
}

// insist sends an order with an unknown outcome a few more times.
func (s *callers) insist(ctx context.Context, c call, key, intent string) bool {
	for try := range maxResends / maxKeys {
		if s.attempt(ctx, c, key, intent, try).good() {
			return true
		}
		pause(ctx, resendPause)
	}
	return false
}

// copies sends one order several times at short intervals.
func (s *callers) copies(ctx context.Context, c call, intent string) bool {
	key := s.key(c)
	var wg sync.WaitGroup
	good := make([]bool, c.copies)
	for i := range c.copies {
		wg.Go(func() {
			pause(ctx, time.Duration(i)*resendPause)
			good[i] = s.attempt(ctx, c, key, intent, i).good()
		})
	}
	wg.Wait()
	for _, g := range good {
		if g {
			return true
		}
	}
	return s.attempt(ctx, c, key, intent, c.copies).good()
}

func (s *callers) key(c call) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.opaque {
		return fmt.Sprintf("invoice %d", s.rng.Uint64())
	}
	var entropy [10]byte
	for i := range entropy {
		entropy[i] = byte(s.rng.Uint32())
	}
	return ulid.MustNew(ulid.Now(), strings.NewReader(string(entropy[:]))).String()
}

func (s *callers) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	return fmt.Sprintf("%s-%d", s.policy, s.serial)
}

// attempt sends a call once. A caller that cannot connect takes another node.
func (s *callers) attempt(ctx context.Context, c call, key, intent string, try int) reply {
	id := s.next()
	var r reply
	first := s.draw() + try
	for n := range connectAttempts {
		r = s.send(ctx, s.target(c, first+n), c, key, id)
		if r.connected || s.policy != PolicyMesh {
			break
		}
	}
	s.count(c, r, id, key)
	s.cluster.history.Answered(history.Attempt{ID: id, Key: key, Intent: intent, Effect: r.effect, Body: goodBody(r)})
	return r
}

func goodBody(r reply) string {
	if r.good() {
		return r.body
	}
	return ""
}

func (s *callers) count(c call, r reply, id, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	class := s.class(c)
	class.Attempts++
	if !r.good() {
		class.Refusals[r.reason]++
	}
	if !r.good() && r.effect == reason.Unknown && r.reason != string(reason.KeyInProgress) {
		s.cuts++
	}
	if r.good() && key == "" && !strings.HasSuffix(r.body, " for attempt "+id) {
		s.wrong++
		s.noteWrong(r, id)
	}
}

// noteWrong describes the first reply that is not that of its call.
func (s *callers) noteWrong(r reply, id string) {
	if s.wrongReply == "" {
		s.wrongReply = fmt.Sprintf("attempt %q got the reply %q with %+v", id, r.body, r)
	}
}

// draw returns a random place in the list of hosts.
func (s *callers) draw() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.policy == PolicyRoundRobin {
		s.turn++
		return s.turn
	}
	return s.rng.IntN(maxHosts)
}

// maxHosts is well over the number of hosts of any scenario.
const maxHosts = 1 << 16

// target returns the address at a place in the list of hosts.
func (s *callers) target(c call, place int) string {
	if s.policy != PolicyMesh {
		nodes := s.cluster.of(s.service)
		return nodes[place%len(nodes)].standIn.Addr()
	}
	nodes := s.cluster.of("")
	n := nodes[place%len(nodes)]
	if c.class == model.ClassInternal {
		return *n.outboundAddr.Load()
	}
	return *n.inboundAddr.Load()
}

func (s *callers) pool(address string) *client.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[address]
	if !ok {
		p = client.NewPool(address, maxCallerConns)
		s.pools[address] = p
	}
	return p
}

// send makes one exchange.
func (s *callers) send(ctx context.Context, address string, c call, key, id string) reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h := newHeader(c.method, c.path, address)
	h.Set(upstream.HeaderAttempt, id)
	if key != "" {
		h.Set(order.HeaderKey, key)
	}
	if c.poison {
		h.Set(upstream.HeaderPoison, "true")
	}
	var got client.Reply
	if err := s.pool(address).Do(ctx, &client.Request{Header: h}, &got); err != nil {
		r := reply{reason: string("caller-" + err.Kind), effect: reason.Unknown, connected: err.Sent}
		if !err.Sent {
			r.effect = reason.NotRun
		}
		return r
	}
	defer got.Close()
	return readReply(&got)
}

func newHeader(method, path, host string) *protocol.RequestHeader {
	h := &protocol.RequestHeader{}
	h.SetNoDefaultContentType(true)
	h.SetMethod(method)
	h.SetRequestURI(path)
	h.SetHost(host)
	return h
}

// readReply reads the answer of a node or of a stand-in. A stand-in that
// answers at all has run the call.
func readReply(got *client.Reply) reply {
	h := &got.Header
	r := reply{
		status:    h.StatusCode(),
		body:      string(got.Body),
		effect:    reason.Effect(h.Peek(reason.HeaderEffect)),
		reason:    string(h.Peek(reason.HeaderReason)),
		connected: true,
	}
	if r.effect == "" {
		r.effect = reason.Run
		if r.status >= http.StatusInternalServerError {
			r.effect = reason.NotRun // The stand-ins refuse before they run a call.
		}
	}
	if r.reason == "" && !r.good() {
		r.reason = "status-" + strconv.Itoa(r.status)
	}
	if seconds, err := strconv.Atoi(string(h.Peek(reason.HeaderRetryAfter))); err == nil {
		r.again = time.Duration(seconds) * time.Second
	}
	return r
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
