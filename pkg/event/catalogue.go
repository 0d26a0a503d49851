package event

import "sort"

// maxNumber is the largest event number. Each area of the system has a range of one
// hundred numbers, given by the first digit: 1 process, 2 store, 4 hosts, 5 configuration, 6 requests, 8 upstreams,
// 9 security. Numbers of removed events are never reused.
const maxNumber = 999

// catalogue holds every event by its number.
var catalogue = map[int]Event{}

// register adds an event to the catalogue. It panics if the number is already in use,
// which makes the tests of this package fail.
func register(number int, name string, level Level, meaning, action string) Event {
	if _, ok := catalogue[number]; ok {
		panic("event number is already in use: " + name)
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning, Action: action}
	catalogue[number] = e
	return e
}

// Catalogue returns every event sorted by number.
func Catalogue() []Event {
	events := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		events = append(events, e)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}
