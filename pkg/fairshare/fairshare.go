// Package fairshare tracks how much of a shared upstream each organisation has used lately,
// relative to the share that it is entitled to.
//
// It is meant for one organisation that sends many times its usual requests to an upstream
// that others use as well. It has no clock and does no I/O: the time is an argument.
package fairshare

import (
	"math"
	"time"
)

const (
	// halfLife is the time after which use counts half.
	halfLife = 3 * time.Second
	// decayStep is the shortest time between two updates of the decaying values.
	decayStep = 100 * time.Millisecond
	// maxOrganisations bounds the organisations that are tracked. Of more, those that used the
	// least are forgotten, which are the closest to an unknown one.
	maxOrganisations = 256
	// allowance is the use, in slot time, that counts as within any share. A small organisation
	// sends an upstream one request in several seconds, which is far above its share of a few
	// milliseconds for a moment.
	allowance = 500 * time.Millisecond
	// minAsked is the number of recent requests that an organisation needs before it can count
	// as starved, and starvedShare the fraction of the average service rate below which it
	// does. None may be served less than a quarter as often as all organisations together.
	minAsked     = 10.0
	starvedShare = 0.3
	// forgetBelow is the number of decayed requests, and of decayed seconds of slot time, below
	// which an organisation is forgotten.
	forgetBelow = 0.05
)

// Organisation identifies an organisation and the priority of its requests. Shares compare
// organisations of one priority, since more urgent requests go first whatever was used.
type Organisation struct {
	Name     string
	Priority int
}

// Shares tracks the organisations of one upstream. The zero value is ready for use. It is not
// safe for concurrent use.
type Shares struct {
	accounts map[Organisation]*account
	// sums holds the sums of the accounts of each priority, and all that of all priorities.
	sums      map[int]*account
	all       account
	decayedAt time.Time
}

// account holds the weight of an organisation and its decaying counts.
type account struct {
	weight float64
	// used is the slot time in seconds, asked the requests that arrived and served those that
	// got a slot.
	used, asked, served float64
}

// add adds another account, multiplied by sign.
func (a *account) add(b *account, sign float64) {
	a.weight += sign * b.weight
	a.used += sign * b.used
	a.asked += sign * b.asked
	a.served += sign * b.served
}

// Asked counts a request that arrived. A weight that is not positive counts as 1, so that
// organisations without weights have equal shares.
func (s *Shares) Asked(now time.Time, o Organisation, weight float64) {
	s.decay(now)
	if !(weight > 0) || math.IsInf(weight, 1) {
		weight = 1
	}
	a := s.accounts[o]
	if a == nil {
		if s.accounts == nil {
			s.accounts, s.sums = make(map[Organisation]*account), make(map[int]*account)
		}
		if len(s.accounts) >= maxOrganisations {
			s.forgetSmallest()
		}
		a = &account{}
		s.accounts[o] = a
	}
	s.change(o, a, account{weight: weight - a.weight, asked: 1})
}

// Served counts a request that got a slot.
func (s *Shares) Served(o Organisation) {
	if a := s.accounts[o]; a != nil {
		s.change(o, a, account{served: 1})
	}
}

// Used adds to the slot time of an organisation. It is negative to correct an estimate.
func (s *Shares) Used(o Organisation, slotTime time.Duration) {
	if a := s.accounts[o]; a != nil {
		s.change(o, a, account{used: max(slotTime.Seconds(), -a.used)})
	}
}

// change adds to an account and to the sums.
func (s *Shares) change(o Organisation, a *account, by account) {
	sum := s.sums[o.Priority]
	if sum == nil {
		sum = &account{}
		s.sums[o.Priority] = sum
	}
	a.add(&by, 1)
	sum.add(&by, 1)
	s.all.add(&by, 1)
}

// Excess returns how far the use of an organisation is above its share, relative to the share,
// and 0 up to the share. pending is the slot time that its waiting requests will use.
func (s *Shares) Excess(o Organisation, pending time.Duration) float64 {
	a, sum := s.accounts[o], s.sums[o.Priority]
	if a == nil || sum.weight <= 0 {
		return 0
	}
	entitled := a.weight/sum.weight*sum.used + allowance.Seconds()
	return max(0, (a.used+pending.Seconds())/entitled-1)
}

// Starved reports whether a smaller part of the organisation's requests is served than
// starvedShare of the average over all organisations, whatever their priorities.
func (s *Shares) Starved(o Organisation) bool {
	a := s.accounts[o]
	return a != nil && a.asked >= minAsked && a.served*s.all.asked < starvedShare*s.all.served*a.asked
}

// Len returns the number of tracked organisations.
func (s *Shares) Len() int { return len(s.accounts) }

// decay reduces all values by the time since the last reduction and forgets organisations that
// have sent nothing for a while.
func (s *Shares) decay(now time.Time) {
	age := now.Sub(s.decayedAt)
	if age < decayStep {
		return
	}
	s.decayedAt = now
	keep := math.Exp2(-float64(age) / float64(halfLife))
	s.all = account{}
	clear(s.sums)
	for o, a := range s.accounts {
		now := account{weight: a.weight, used: a.used * keep, asked: a.asked * keep, served: a.served * keep}
		if now.asked < forgetBelow && now.used < forgetBelow {
			delete(s.accounts, o)
			continue
		}
		*a = account{}
		s.change(o, a, now)
	}
}

// forgetSmallest forgets the organisation that used the least.
func (s *Shares) forgetSmallest() {
	var smallest Organisation
	var least *account
	for o, a := range s.accounts {
		if least == nil || a.used < least.used || a.used == least.used && o.Name < smallest.Name {
			smallest, least = o, a
		}
	}
	delete(s.accounts, smallest)
	s.sums[smallest.Priority].add(least, -1)
	s.all.add(least, -1)
}
