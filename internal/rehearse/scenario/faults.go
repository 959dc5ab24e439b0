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
	// applyTimeout limits how long an operator repeats one apply until its outcome is known.
	applyTimeout = 40 * time.Second
	// readyTimeout limits how long a started process may take to become ready.
	readyTimeout = 20 * time.Second
	// plannedStopTimeout limits a planned stop; a process that takes longer is killed.
	plannedStopTimeout = 12 * time.Second
	// recoveryWait is how long traffic continues after the last fault. Service must recover within 15 s.
	recoveryWait = 17 * time.Second
)

// errRelaysRequired is returned by scenarios that impair the network if the fleet has no relays.
var errRelaysRequired = errors.New("partitions and delays need --relays")

func runWithoutFaults(r *Rehearsal) error {
	r.Wait(r.Options.Duration)
	return nil
}

// fractionOfDuration returns a fraction of the scenario's duration.
func (r *Rehearsal) fractionOfDuration(fraction float64) time.Duration {
	return time.Duration(float64(r.Options.Duration) * fraction)
}

// withinDuration reports whether less than the scenario's duration has passed since it began.
func (r *Rehearsal) withinDuration(began time.Time) bool {
	return time.Since(began) < r.Options.Duration
}

// restartAfter waits for a delay and then starts a process again. It only logs a failure.
func (r *Rehearsal) restartAfter(process *fleet.Process, delay time.Duration) {
	time.Sleep(delay)
	if err := r.Fleet.Start(process, ""); err != nil {
		r.Logf("starting %s failed: %v", process.Name, err)
	}
}

// restartAndAwait starts a process again at once and waits until it is ready.
func (r *Rehearsal) restartAndAwait(process *fleet.Process) error {
	r.restartAfter(process, 0)
	return fleet.AwaitReady([]*fleet.Process{process}, readyTimeout)
}

// awaitRecovery records that all faults have ended, and lets traffic continue for recoveryWait.
func (r *Rehearsal) awaitRecovery() {
	r.History.RecordMarker(markerFaultsEnded, r.Clock.Now())
	time.Sleep(recoveryWait)
}

// hasLogged reports whether a process's log contains an event with this number.
func (r *Rehearsal) hasLogged(process *fleet.Process, event int) (bool, error) {
	content, err := os.ReadFile(filepath.Join(process.Dir, "log"))
	return bytes.Contains(content, []byte(fmt.Sprintf(`"event":%d,`, event))), err
}

// stateVariant returns the layout's desired state with this number in its note, so that each number gives a different content.
func (r *Rehearsal) stateVariant(number int) []byte {
	content, _ := examples.Desired(r.Fleet.Layout.DesiredState)
	return bytes.Replace(content, []byte(`"note": "`), []byte(fmt.Sprintf(`"note": "variant %d. `, number)), 1)
}

// applyVariant applies a variant of the desired state on top of the newest version, whichever that is. An error means that the outcome
// remained unknown for applyTimeout.
func (r *Rehearsal) applyVariant(number int) error {
	_, err := r.Operator.Apply(r.stateVariant(number), "any", applyTimeout)
	return err
}
