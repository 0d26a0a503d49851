// Package agenda keeps what is going to happen in a simulation in virtual time.
package agenda

import (
	"container/heap"
	"time"
)

// Agenda holds items by the time at which they are due. Items due at the same
// time come in the order in which they were added. The zero value is empty.
type Agenda[T any] struct {
	entries entries[T]
	added   uint64
}

// Add puts an item on the agenda.
func (a *Agenda[T]) Add(due time.Time, item T) {
	a.added++
	heap.Push(&a.entries, entry[T]{due: due, number: a.added, item: item})
}

// Next takes the item that is due first. ok is false when there is none.
func (a *Agenda[T]) Next() (due time.Time, item T, ok bool) {
	if len(a.entries) == 0 {
		return time.Time{}, item, false
	}
	e := heap.Pop(&a.entries).(entry[T])
	return e.due, e.item, true
}

type entry[T any] struct {
	due    time.Time
	number uint64
	item   T
}

// entries implements heap.Interface.
type entries[T any] []entry[T]

func (e entries[T]) Len() int      { return len(e) }
func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entries[T]) Push(x any)   { *e = append(*e, x.(entry[T])) }

func (e entries[T]) Less(i, j int) bool {
	if e[i].due.Equal(e[j].due) {
		return e[i].number < e[j].number
	}
	return e[i].due.Before(e[j].due)
}

func (e *entries[T]) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
