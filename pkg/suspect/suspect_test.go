package suspect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/suspect"
)

// A request that was running at three crashes is refused. Requests that ran beside it
// complete elsewhere and are not refused.
func TestThirdCrashRefuses(t *testing.T) {
	is := is.New(t)
	tracker := suspect.NewTracker()
	now := time.Unix(0, 0)
	const poison, bystander = 1, 2
	for crash := range 3 {
		life := suspect.Life{UpstreamID: "up", Born: int64(crash)}
		is.True(!tracker.Refused(now, poison))
		isNew, refused := tracker.RecordCrash(now, poison, life)
		is.True(isNew)
		is.Equal(refused, crash == 2)
		isNew, refused = tracker.RecordCrash(now, poison, life)
		is.True(!isNew && !refused) // a crash counts once
		tracker.RecordCrash(now, bystander, life)
		tracker.Completed(bystander)
		now = now.Add(time.Second)
	}
	is.True(tracker.Refused(now, poison))
	is.True(!tracker.Refused(now, bystander))
	is.True(!tracker.Refused(now.Add(2*time.Minute), poison)) // the refusal expires
}
