package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A sweep while a caller connects must not remove that caller. If it did, the caller's calls
// would run a second time after the connection is lost and they are resent.
func TestConnectingCallerIsNotForgotten(t *testing.T) {
	is := is.New(t)
	s := &Server{callers: make(map[string]*caller)}
	connecting := s.callerFor("node", 1)
	is.True(connecting.recordAttempt(1))
	s.expire(time.Now())
	is.True(s.callerFor("node", 1) == connecting)
	s.expire(time.Now().Add(callerRetention + time.Second))
	is.True(s.callerFor("node", 1) != connecting)
}
