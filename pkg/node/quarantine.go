package node

import (
	"fmt"
	"strconv"

	"github.com/tarragondrum/tarragondrum/pkg/handover"
	"github.com/tarragondrum/tarragondrum/pkg/quarantine"
)

// operatorQuarantine shows the quarantine to operators, with fingerprints as
// 16 hexadecimal digits.
type operatorQuarantine struct {
	service *quarantine.Service
}

// Quarantined lists the calls that are refused.
func (q operatorQuarantine) Quarantined() []handover.Quarantined {
	list := []handover.Quarantined{}
	for _, e := range q.service.List() {
		if !e.Quarantined {
			continue
		}
		list = append(list, handover.Quarantined{
			Fingerprint: fmt.Sprintf("%016x", e.Fingerprint),
			Crashes:     e.Crashes,
			Until:       e.Until,
		})
	}
	return list
}

// Lift ends the quarantine of a fingerprint and reports whether there was one.
func (q operatorQuarantine) Lift(fingerprint string) bool {
	value, err := strconv.ParseUint(fingerprint, 16, 64)
	if err != nil || !q.service.Quarantined(value) {
		return false
	}
	q.service.Lift(value, "admin listener")
	return true
}
