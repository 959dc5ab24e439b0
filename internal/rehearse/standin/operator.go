package standin

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
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

// Operator plays the operators: it applies desired states, asking again while an outcome isn't known.
type Operator struct {
	Fleet   *fleet.Fleet
	Clock   monotonic.Clock
	History *invariants.History
	Client  *http.Client
}

// NewOperator makes one.
func NewOperator(target *fleet.Fleet, clock monotonic.Clock, history *invariants.History) *Operator {
	return &Operator{Fleet: target, Clock: clock, History: history, Client: &http.Client{Timeout: 25 * time.Second}}
}

// RecordApply applies a content and notes the outcome.
func (o *Operator) Apply(content []byte, expected string, timeout time.Duration) (api.ApplyResult, error) {
	state, faults := config.Parse(content)
	if state != nil && len(faults) == 0 {
		o.allowRoutes(content)
	}
	defer func(end func(monotonic.Micros)) { end(o.Clock.Now()) }(o.History.BeginPlannedChange("a change of the desired state", o.Clock.Now()))
	req := fmt.Sprintf("apply-%d", rand.Uint64())
	deadline := time.Now().Add(timeout)
	for turn := rand.IntN(len(o.Fleet.ConfigStores)); ; turn++ {
		store := o.Fleet.ConfigStores[turn%len(o.Fleet.ConfigStores)]
		applied, err := o.applyOnce(store, content, expected, req)
		if err == nil && applied.Outcome != "unknown" && applied.Outcome != api.OutcomeUnreached {
			o.History.RecordApply(invariants.AppliedConfig{Version: applied.Version, Digest: applied.Digest, Valid: len(faults) == 0, Outcome: applied.Outcome, At: o.Clock.Now(), Sum: resourceDigest(state)})
			return applied, nil
		}
		if time.Now().After(deadline) {
			return applied, fmt.Errorf("no certain outcome: %v %v", applied, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// check is the digest of a state's resources, as carriers tell it of what they have in force.
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

// allow notes which services the content sends which kinds of traffic to.
func (o *Operator) allowRoutes(content []byte) {
	state, _ := config.Parse(content)
	compiled := config.Compile(state, 0, "")
	kinds := append(o.Fleet.Layout.Kinds, o.Fleet.Layout.LookupKinds()...)
	for _, kind := range kinds {
		if path, found := compiled.Resolve("", kind.Method, strings.TrimSuffix(kind.Path, "/")+"/1"); found {
			o.History.AllowRoute(kind.Name, path.Service.Name, o.Clock.Now())
		}
	}
}

func (o *Operator) applyOnce(store *fleet.Process, content []byte, expected, req string) (api.ApplyResult, error) {
	var applied api.ApplyResult
	address := fmt.Sprintf("http://%s/desired-state?expected=%s&request=%s", store.AdminAddress, expected, req)
	put, err := http.NewRequest(http.MethodPut, address, bytes.NewReader(content))
	if err != nil {
		return applied, err
	}
	response, err := o.Client.Do(put)
	if err != nil {
		return applied, err
	}
	defer response.Body.Close()
	return applied, json.NewDecoder(response.Body).Decode(&applied)
}

// ReadBack reads the whole history and notes it.
func (o *Operator) ReadBack() error {
	var last error
	for turn := range 40 {
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
		time.Sleep(500 * time.Millisecond)
	}
	return last
}

// ReadJSON reads a page of a process as JSON.
func (o *Operator) ReadJSON(process *fleet.Process, path string, into any) error {
	response, err := o.Client.Get("http://" + process.AdminAddress + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d: %s", path, response.StatusCode, content)
	}
	return json.Unmarshal(content, into)
}
