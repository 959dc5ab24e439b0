package scenario

import (
	"strings"

	"snowflow/internal/monotonic"
)

// operatorTimeout is how long operators retry a change in the faults below.
const operatorTimeout = 30 * monotonic.Second

// Changes of the configuration.
var (
	applyConfig = fault{"apply a desired state", func(m *Mesh) {
		m.startApply(Desired(m.randomVariant()), operatorTimeout)
	}}
	applyConfigRace = fault{"two operators race", func(m *Mesh) {
		expected := m.latestVersion
		for range 2 {
			variant := m.randomVariant()
			m.External.Go(func() { m.applyDesired(Desired(variant), false, expected, operatorTimeout) })
		}
	}}
	applyConfigBurst = fault{"a burst of desired states, some invalid", func(m *Mesh) {
		for number := range 6 {
			content := Desired(m.randomVariant())
			if number%3 == 2 {
				content = []byte(strings.Replace(string(content), `"class":"once"`, `"class":"twice"`, 1))
			}
			m.after(monotonic.Micros(number)*150*monotonic.Millisecond, func() { m.startApply(content, operatorTimeout) })
		}
	}}
)

// atAcknowledgement applies a desired state and runs an action at the moment at which the operator receives the acknowledgement.
func (m *Mesh) atAcknowledgement(action func()) {
	variant := m.randomVariant()
	m.External.Go(func() {
		if accepted(m.applyDesired(Desired(variant), true, 0, 8*monotonic.Second)) {
			m.runNow(action)
		}
	})
}
