package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"snowflow/examples"
	"snowflow/internal/rehearse/fleet"
)

const (
	// applyTimeout bounds how long an operator repeats one apply until its outcome is known.
	applyTimeout = 40 * time.Second
	// readyTimeout bounds how long a started process may take to be ready.
	readyTimeout = 20 * time.Second
	// plannedStopTimeout bounds a planned stop; a process that takes longer is killed.
	plannedStopTimeout = 12 * time.Second
	// recoveryTime is how long traffic goes on after the last fault. Service must be back within 15 s.
	recoveryTime = 17 * time.Second
)

// errRelaysRequired is the error of scenarios that impair the network, on a fleet without relays.
var errRelaysRequired = errors.New("partitions and delays need --relays")

func runWithoutFaults(r *Rehearsal) error {
	r.Wait(r.Options.Duration)
	return nil
}

// partOfLength is a fraction of the scenario's length.
func (r *Rehearsal) partOfLength(fraction float64) time.Duration {
	return time.Duration(float64(r.Options.Duration) * fraction)
}

// running reports whether the scenario's length, counted from its beginning, has not yet passed.
func (r *Rehearsal) running(began time.Time) bool { return time.Since(began) < r.Options.Duration }

// restartAfter starts a process again after a delay.
func (r *Rehearsal) restartAfter(process *fleet.Process, delay time.Duration) {
	time.Sleep(delay)
	if err := r.Fleet.Start(process, ""); err != nil {
		r.Logf("%s does not start: %v", process.Name, err)
	}
}

// restartAndAwait starts a process again at once and waits until it is ready.
func (r *Rehearsal) restartAndAwait(process *fleet.Process) error {
	r.restartAfter(process, 0)
	return fleet.AwaitReady([]*fleet.Process{process}, readyTimeout)
}

// markRecovered records that the last fault is over, and lets traffic go on for recoveryTime.
func (r *Rehearsal) markRecovered() {
	r.History.RecordMarker(markerRecovered, r.Clock.Now())
	time.Sleep(recoveryTime)
}

// hasLogged reports whether a process's log contains an event with this number.
func (r *Rehearsal) hasLogged(process *fleet.Process, event int) (bool, error) {
	content, err := os.ReadFile(filepath.Join(process.Dir, "log"))
	return bytes.Contains(content, []byte(fmt.Sprintf(`"event":%d,`, event))), err
}

// stateVariant is the layout's desired state with this number in its note, so that each number is a version of its own.
func (r *Rehearsal) stateVariant(number int) []byte {
	content, _ := examples.Desired(r.Fleet.Layout.DesiredState)
	return bytes.Replace(content, []byte(`"note": "`), []byte(fmt.Sprintf(`"note": "variant %d. `, number)), 1)
}

// applyVariant applies a variant of the desired state on top of whichever version is the newest. An error means that the outcome
// stayed unknown for applyTimeout.
func (r *Rehearsal) applyVariant(number int) error {
	_, err := r.Operator.Apply(r.stateVariant(number), "any", applyTimeout)
	return err
}
