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
func NewOperator(running *fleet.Fleet, clock monotonic.Clock, history *invariants.History) *Operator {
	return &Operator{Fleet: running, Clock: clock, History: history, Client: &http.Client{Timeout: 25 * time.Second}}
}

// RecordApply applies a content and notes the outcome.
func (operator *Operator) Apply(content []byte, expected string, patience time.Duration) (api.ApplyResult, error) {
	state, faults := config.Parse(content)
	if state != nil && len(faults) == 0 {
		operator.allow(content)
	}
	defer func(over func(monotonic.Micros)) { over(operator.Clock.Now()) }(operator.History.BeginPlannedChange("a change of the desired state", operator.Clock.Now()))
	req := fmt.Sprintf("apply-%d", rand.Uint64())
	cutoff := time.Now().Add(patience)
	for turn := rand.IntN(len(operator.Fleet.Postmasters)); ; turn++ {
		master := operator.Fleet.Postmasters[turn%len(operator.Fleet.Postmasters)]
		applied, err := operator.once(master, content, expected, req)
		if err == nil && applied.Outcome != "unknown" && applied.Outcome != api.OutcomeUnreached {
			operator.History.RecordApply(invariants.AppliedConfig{Serial: applied.Version, Digest: applied.Digest, Valid: len(faults) == 0, Outcome: applied.Outcome, At: operator.Clock.Now(), Sum: check(state)})
			return applied, nil
		}
		if time.Now().After(cutoff) {
			return applied, fmt.Errorf("no certain outcome: %v %v", applied, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// check is the digest of a state's resources, as carriers tell it of what they have in force.
func check(state *wire.DesiredState) string {
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
func (operator *Operator) allow(content []byte) {
	state, _ := config.Parse(content)
	view := config.Compile(state, 0, "")
	kinds := append(operator.Fleet.Layout.Kinds, operator.Fleet.Layout.LookupKinds()...)
	for _, kind := range kinds {
		if path, found := view.Resolve("", kind.Method, strings.TrimSuffix(kind.Path, "/")+"/1"); found {
			operator.History.AllowRoute(kind.Name, path.Service.Name, operator.Clock.Now())
		}
	}
}

func (operator *Operator) once(master *fleet.Process, content []byte, expected, req string) (api.ApplyResult, error) {
	var applied api.ApplyResult
	address := fmt.Sprintf("http://%s/desired-state?expected=%s&request=%s", master.Desk, expected, req)
	ask, err := http.NewRequest(http.MethodPut, address, bytes.NewReader(content))
	if err != nil {
		return applied, err
	}
	response, err := operator.Client.Do(ask)
	if err != nil {
		return applied, err
	}
	defer response.Body.Close()
	return applied, json.NewDecoder(response.Body).Decode(&applied)
}

// ReadBack reads the whole history and notes it.
func (operator *Operator) ReadBack() error {
	var last error
	for turn := range 40 {
		master := operator.Fleet.Postmasters[turn%len(operator.Fleet.Postmasters)]
		var kept []api.StoredState
		if last = operator.Get(master, "/history", &kept); last == nil {
			operator.History.Update(func() {
				operator.History.ReadBackComplete = true
				for _, state := range kept {
					operator.History.ReadBack = append(operator.History.ReadBack, invariants.ReadBack{Serial: state.Version, Digest: state.Digest})
				}
			})
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return last
}

// Get reads a page of a process as JSON.
func (operator *Operator) Get(process *fleet.Process, path string, into any) error {
	response, err := operator.Client.Get("http://" + process.Desk + path)
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
