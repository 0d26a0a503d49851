package currency

import (
	"sync"
	"time"
)

const (
	// askInterval is the time between two questions. With a read of the store every 0.9 s and three
	// hops, the age of a proof stays under 3 s.
	askInterval = 400 * time.Millisecond
	// askOtherInterval is the time after which another neighbour is asked if the last one has not
	// answered. It may be cut off itself.
	askOtherInterval = 150 * time.Millisecond
	// maxQuestions bounds the questions whose answers are still accepted: those of the last 6 s, if all
	// go to one neighbour. Later answers are too old to help.
	maxQuestions = 16
	// maxStatedAge bounds the age that an answer may state. A greater one is of no use.
	maxStatedAge = time.Hour
)

// question is a question for a proof.
type question struct {
	number uint64
	node   string
	sentAt time.Duration
}

// Questions keeps the questions of a node to its neighbours. It is safe for concurrent use.
type Questions struct {
	mu   sync.Mutex
	sent []question // the newest last
	// answered is set if the newest question was answered.
	answered bool
}

// Ask reports whether to ask a neighbour now, with a number that no other question has. The caller
// reads now before it sends the question.
func (q *Questions) Ask(now time.Duration, node string, number uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.sent) > 0 {
		last := q.sent[len(q.sent)-1]
		pause := askInterval
		if !q.answered && last.node != node {
			pause = askOtherInterval
		}
		if since := now - last.sentAt; since >= 0 && since < pause {
			return false
		}
	}
	if len(q.sent) >= maxQuestions {
		q.sent = append(q.sent[:0], q.sent[1:]...)
	}
	q.sent = append(q.sent, question{number, node, now})
	q.answered = false
	return true
}

// Answered returns the time that an answer proves something about: when its question was sent, less
// the age that the neighbour stated. So a proof never looks newer than it is, however long the question
// or the answer took, and a repeated answer proves nothing more. It returns false for an answer to no
// known question.
func (q *Questions) Answered(node string, number uint64, age time.Duration) (at time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if age < 0 || age > maxStatedAge {
		return 0, false
	}
	for i, s := range q.sent {
		if s.number == number && s.node == node {
			q.answered = q.answered || i == len(q.sent)-1
			return s.sentAt - age, true
		}
	}
	return 0, false
}
