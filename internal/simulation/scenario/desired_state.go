package scenario

import (
	"bytes"
	"fmt"
)

// Desired returns a desired state of a simulated mesh. Variants differ in content: some classify submissions as reads, and some
// route them to the other service. Neither may cause an idempotency key to be executed twice.
func Desired(variant int) []byte {
	class, forms, households := "once", "", `{"method":"GET","prefix":"/nothing","class":"read"}`
	if variant%5 == 4 {
		class = "read"
	}
	submissions := fmt.Sprintf(`{"method":"POST","prefix":"/households","class":"%s"}`, class)
	if variant%7 == 6 {
		forms = "," + submissions
	} else {
		households = submissions
	}
	return []byte(fmt.Sprintf(`{"note":"variant %d","groups":[{"name":"field",
"guard":{"windowCalls":30,"minimumCalls":8,"failureRate":0.5,"waitOpenMicros":2000000,"permittedHalfOpen":4,"probeTenureMicros":4000000},
"retry":{"mostTries":3,"budgetRatio":0.2,"allowance":10},
"limits":{"cutoffMicros":4000000},
"services":[
{"name":"forms","paths":[{"method":"GET","prefix":"/forms","class":"read"}%s]},
{"name":"households","paths":[%s]}]}]}`, variant, forms, households))
}

// retryAllowance is the retry allowance of Desired plus the retries that may be granted at the edges of the rule's window.
const retryAllowance = 10 + 2

// desiredWithSlowCallRate returns a desired state by which slow calls trip a breaker too.
func desiredWithSlowCallRate(variant int) []byte {
	return bytes.Replace(Desired(variant), []byte(`"failureRate"`), []byte(`"slowRate":0.5,"slowMicros":700000,"failureRate"`), 1)
}

// desiredWithFewSlots returns a desired state that limits the concurrent requests per backend to a few.
func desiredWithFewSlots(variant int) []byte {
	return bytes.Replace(Desired(variant), []byte(`"limits":{`), []byte(`"limits":{"inFlightPerBackend":8,`), 1)
}
