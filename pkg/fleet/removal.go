package fleet

import "container/list"

// maxRemovals is the maximum number of removals that a table keeps. It is far above the
// number of removals in the time during which a node that missed one may still send the
// deleted record.
const maxRemovals = 4096

// removalLog holds the newest removal of each of maxRemovals hosts. The host whose removal was
// added first is dropped first.
type removalLog struct {
	byNode map[string]*list.Element
	order  *list.List // of Removal
}

func newRemovalLog() removalLog {
	return removalLog{byNode: make(map[string]*list.Element), order: list.New()}
}

// get returns the removal of a host.
func (l *removalLog) get(node string) (Removal, bool) {
	e, ok := l.byNode[node]
	if !ok {
		return Removal{}, false
	}
	return e.Value.(Removal), true
}

// add adds a removal. One that a later removal of the host covers changes nothing.
func (l *removalLog) add(r Removal) {
	if e, ok := l.byNode[r.Node]; ok {
		known := e.Value.(Removal)
		if !known.Covers(&Host{Incarnation: r.Incarnation, Change: r.Change}) {
			e.Value = r
		}
		return
	}
	l.byNode[r.Node] = l.order.PushBack(r)
	if l.order.Len() > maxRemovals {
		delete(l.byNode, l.order.Remove(l.order.Front()).(Removal).Node)
	}
}

// delete removes the entry of a host.
func (l *removalLog) delete(node string) {
	if e, ok := l.byNode[node]; ok {
		l.order.Remove(e)
		delete(l.byNode, node)
	}
}
