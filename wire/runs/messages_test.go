package runs

import (
	"reflect"
	"testing"

	"peridotpick.example/common/room"
)

// TestWorkerEqualComparesAllFields guards against a change of a worker that entries do not learn of.
func TestWorkerEqualComparesAllFields(t *testing.T) {
	differing := Worker{
		ID: "i", Agent: "a", Service: "s", DataCentre: "d", Labels: []string{"l"}, Capacity: room.Resources{CPU: 1},
		Draining: true, Released: true, OnDemand: true, Born: 1, TakesReservations: true,
	}
	all := reflect.ValueOf(differing)
	for i := range all.NumField() {
		var w Worker
		reflect.ValueOf(&w).Elem().Field(i).Set(all.Field(i))
		if all.Field(i).IsZero() || w.Equal(&Worker{}) || !w.Equal(&w) {
			t.Errorf("field %s is not compared", all.Type().Field(i).Name)
		}
	}
}
