package standin

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"snowflow/internal/config"
	"snowflow/internal/config/changes"
	"snowflow/internal/configstore/api"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/transport/wire"
)

const (
	operatorTimeout  = 25 * time.Second // for one request
	applyRetryPause  = 200 * time.Millisecond
	readBackAttempts = 40
	readBackPause    = 500 * time.Millisecond
)

// errUnknownOutcome is returned for an apply whose outcome is still unknown after its timeout.
var errUnknownOutcome = errors.New("the outcome of the apply is unknown")

// Operator simulates the mesh's operators. It applies desired states, and repeats an apply while its outcome is unknown.
type Operator struct {
	Fleet   *fleet.Fleet
	Clock   monotonic.Clock
	History *invariants.History
	Client  *http.Client
}

// NewOperator returns an operator that records its requests in the history.
func NewOperator(target *fleet.Fleet, clock monotonic.Clock, history *invariants.History) *Operator {
	return &Operator{Fleet: target, Clock: clock, History: history, Client: &http.Client{Timeout: operatorTimeout}}
}

// Apply applies a desired state on the condition that the current version is the expected one, or on any version if expected is "any",
// and records the outcome. It sends the request to a random configuration store and repeats it at the next one until the outcome is
// known. A rejection is an outcome, not an error.
func (o *Operator) Apply(content []byte, expected string, timeout time.Duration) (api.ApplyResult, error) {
	state, fieldErrors := config.Parse(content)
	valid := len(fieldErrors) == 0
	if state != nil && valid {
		o.recordAllowedRoutes(state)
	}
	end := o.History.BeginPlannedChange("a change of the desired state", o.Clock.Now())
	defer func() { end(o.Clock.Now()) }()
	requestID := fmt.Sprintf("apply-%d", rand.Uint64())
	deadline := time.Now().Add(timeout)
	for turn := rand.IntN(len(o.Fleet.ConfigStores)); ; turn++ {
		store := o.Fleet.ConfigStores[turn%len(o.Fleet.ConfigStores)]
		applied, err := o.applyOnce(store, content, expected, requestID)
		if err == nil && applied.Outcome != "unknown" && applied.Outcome != api.OutcomeUnreached {
			o.History.RecordApply(invariants.AppliedConfig{Version: applied.Version, Digest: applied.Digest, Valid: valid, Outcome: applied.Outcome,
				At: o.Clock.Now(), Sum: resourceDigest(state)})
			return applied, nil
		}
		if time.Now().After(deadline) {
			return applied, errors.Join(fmt.Errorf("%w: %v", errUnknownOutcome, applied), err)
		}
		time.Sleep(applyRetryPause)
	}
}

// resourceDigest returns the digest of a state's resources, which proxies report for their active configuration; empty for no state.
func resourceDigest(state *wire.DesiredState) string {
	if state == nil {
		return ""
	}
	set, err := changes.NewSet(state)
	if err != nil {
		return ""
	}
	return hex.EncodeToString(set.Digest())
}

// recordAllowedRoutes records, for each kind of traffic, the service that the state routes it to.
func (o *Operator) recordAllowedRoutes(state *wire.DesiredState) {
	compiled := config.Compile(state, 0, "")
	for _, kind := range slices.Concat(o.Fleet.Layout.Kinds, o.Fleet.Layout.LookupKinds()) {
		if path, found := compiled.Resolve("", kind.Method, strings.TrimSuffix(kind.Path, "/")+"/1"); found {
			o.History.AllowRoute(kind.Name, path.Service.Name, o.Clock.Now())
		}
	}
}

func (o *Operator) applyOnce(store *fleet.Process, content []byte, expected, requestID string) (applied api.ApplyResult, err error) {
	address := fmt.Sprintf("http://%s/desired-state?expected=%s&request=%s", store.AdminAddress, expected, requestID)
	request, err := http.NewRequest(http.MethodPut, address, bytes.NewReader(content))
	if err != nil {
		return applied, err
	}
	response, err := o.Client.Do(request)
	if err != nil {
		return applied, err
	}
	defer closeBody(response)
	return applied, json.NewDecoder(response.Body).Decode(&applied)
}

// ReadBack reads all accepted versions from a configuration store and records them, to be compared with the acknowledged ones.
func (o *Operator) ReadBack() error {
	var last error
	for turn := range readBackAttempts {
		store := o.Fleet.ConfigStores[turn%len(o.Fleet.ConfigStores)]
		var versions []api.StoredState
		if last = o.ReadJSON(store, "/history", &versions); last == nil {
			o.History.Update(func() {
				o.History.ReadBackComplete = true
				for _, state := range versions {
					o.History.ReadBack = append(o.History.ReadBack, invariants.ReadBack{Version: state.Version, Digest: state.Digest})
				}
			})
			return nil
		}
		time.Sleep(readBackPause)
	}
	return last
}

// ReadJSON requests a path at a process's admin address and decodes the response into a value. A status other than 200 is an error.
func (o *Operator) ReadJSON(process *fleet.Process, path string, into any) error {
	response, err := o.Client.Get("http://" + process.AdminAddress + path)
	if err != nil {
		return err
	}
	defer closeBody(response)
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: status %d: %s", process.Name, path, response.StatusCode, content)
	}
	return json.Unmarshal(content, into)
}

func closeBody(response *http.Response) { _ = response.Body.Close() }
